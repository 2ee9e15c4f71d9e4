//! What the backend servers and their load go through.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::clock::Time;
use crate::plan::Cold;

/// Concurrent calls one backend server can hold.
pub(super) const SLOTS: u32 = 9;
/// Mean time one call takes in a backend server without noise.
pub(super) const MEAN_WORK: Duration = Duration::from_millis(10);
/// Time before the measured part of a block, in which gates warm up.
pub(super) const WARM_UP: Duration = Duration::from_millis(1_500);
/// Share of all slots in use during the warm-up.
pub(super) const WARM_UP_LOAD: f64 = 0.5;
/// Cold start of the stand-ins.
pub(super) const COLD: Cold = Cold {
    allowance: 2,
    steps: 3,
    step_time: Duration::from_millis(100),
};
/// Time a stand-in stays cold after a restart.
pub(super) const COLD_TIME: Duration = Duration::from_millis(300);

/// Whose zone names are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kachní dvůr Vondráček.
    Farm,
    /// Nyanza Jute Sack Growers.
    Society,
}

impl Deployment {
    /// Names of the availability zones; the region is the part before the dash.
    pub(super) const fn zones(self) -> [&'static str; 6] {
        match self {
            Self::Farm => [
                "morava-a",
                "morava-b",
                "cechy-a",
                "cechy-b",
                "slezsko-a",
                "slezsko-b",
            ],
            Self::Society => [
                "kisumu-a",
                "kisumu-b",
                "kakamega-a",
                "kakamega-b",
                "nakuru-a",
                "nakuru-b",
            ],
        }
    }

    pub(super) const fn service(self) -> &'static str {
        match self {
            Self::Farm => "odber",
            Self::Society => "order-desk",
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Farm => "farm",
            Self::Society => "society",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "farm" => Ok(Self::Farm),
            "society" => Ok(Self::Society),
            _ => Err(format!(
                "no deployment is named {name}; use farm or society"
            )),
        }
    }
}

/// One course of load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Half of all slots in use.
    Steady50,
    /// 70% of all slots in use.
    Steady70,
    /// 85% of all slots in use.
    Steady85,
    /// More calls than slots.
    Overload,
    /// Backend servers turn ten times slower for 5 to 50 ms.
    Noise,
    /// One backend server fails every call at once.
    FailingFast,
    /// One backend server restarts without a word.
    ColdReturn,
    /// One availability zone leaves and returns.
    ZoneOut,
    /// Load reports arrive 100 ms late and one in ten misleads.
    StaleReports,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 9] = [
        Self::Steady50,
        Self::Steady70,
        Self::Steady85,
        Self::Overload,
        Self::Noise,
        Self::FailingFast,
        Self::ColdReturn,
        Self::ZoneOut,
        Self::StaleReports,
    ];

    /// Name on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Steady50 => "steady-50",
            Self::Steady70 => "steady-70",
            Self::Steady85 => "steady-85",
            Self::Overload => "overload",
            Self::Noise => "noise",
            Self::FailingFast => "failing-fast",
            Self::ColdReturn => "cold-return",
            Self::ZoneOut => "zone-out",
            Self::StaleReports => "stale-reports",
        }
    }

    /// Share of all slots that the offered load fills.
    pub(super) const fn load(self) -> f64 {
        match self {
            Self::Steady50 => 0.5,
            Self::Steady85 => 0.85,
            Self::Overload => 1.3,
            _ => 0.7,
        }
    }

    /// When the fault of the scenario begins and ends.
    pub(super) fn fault(self, seconds: u32) -> Span {
        let measured = Duration::from_secs(seconds.into());
        let start = Time::ZERO + WARM_UP;
        match self {
            Self::FailingFast => Span {
                start,
                end: start + measured * 2,
            },
            _ => Span {
                start: start + measured / 4,
                end: start + measured * 5 / 8,
            },
        }
    }
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Span {
    pub(super) start: Time,
    pub(super) end: Time,
}

impl Span {
    pub(super) fn contains(&self, time: Time) -> bool {
        self.start <= time && time < self.end
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|one| one.as_str() == name);
        known.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("no scenario is named {name}; use one of {names}")
        })
    }
}
