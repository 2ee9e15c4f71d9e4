//! From raw values to checked settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use xxhash_rust::xxh3::xxh3_64;

use super::{LogFormat, Name, Settings};

/// Longest name of an instance, service, region or availability zone, in bytes.
const MAX_NAME_LEN: usize = 128;

/// Denominator of the trace ratio.
const TRACE_SCALE: u32 = 10_000;

/// Longest graceful shutdown, in seconds.
const MAX_GRACE_S: u64 = 86_400;

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Fault {
    /// --{flag} ({variable}) is missing; give {value}: {help}
    Missing {
        /// Long flag.
        flag: &'static str,
        /// Environment variable.
        variable: String,
        /// Shape of the value.
        value: &'static str,
        /// What it is for.
        help: &'static str,
    },
    /// --{flag} ({variable}): "{given}" {problem}; {remedy}
    Invalid {
        /// Long flag.
        flag: &'static str,
        /// Environment variable.
        variable: String,
        /// Value that was given.
        given: String,
        /// What is wrong with it.
        problem: &'static str,
        /// What to give instead.
        remedy: &'static str,
    },
    /// --{flag} ({variable}) and --{other} are both {given}; give each its own port
    SamePort {
        /// Long flag.
        flag: &'static str,
        /// Environment variable.
        variable: String,
        /// The flag with the same value.
        other: &'static str,
        /// Value of both.
        given: SocketAddr,
    },
    /// {variable} is no setting of a node; remove it, or see --help for the names
    Unknown {
        /// Environment variable that is set.
        variable: String,
    },
}

/// Everything that is wrong with the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Checks raw values; `value` gives what flag or variable said, and
/// `variables` the names of all environment variables.
///
/// # Errors
///
/// Returns every fault found, in the order of [`Name::ALL`].
pub fn check(
    value: impl Fn(Name) -> Option<String>,
    variables: impl Iterator<Item = String>,
) -> Result<Settings, Faults> {
    let mut reader = Reader {
        value,
        faults: Vec::new(),
    };
    let settings = reader.read();
    reader.compare(&settings);
    reader.find_unknown(variables);
    if reader.faults.is_empty() {
        Ok(settings)
    } else {
        Err(Faults(reader.faults))
    }
}

struct Reader<V> {
    value: V,
    faults: Vec<Fault>,
}

impl<V: Fn(Name) -> Option<String>> Reader<V> {
    fn read(&mut self) -> Settings {
        let instance = self.name(Name::Instance);
        let default_seed = xxh3_64(instance.as_bytes());
        Settings {
            service: self.name(Name::Service),
            region: self.name(Name::Region),
            zone: self.name(Name::AvailabilityZone),
            backend_server: self.target(Name::BackendServer),
            store: self.target(Name::Store),
            join: self.targets(Name::Join),
            caller_listen: self.listen(Name::CallerListen, Name::CallerAdvertise),
            peer_listen: self.listen(Name::PeerListen, Name::PeerAdvertise),
            control_listen: self.listen(Name::ControlListen, Name::ControlAdvertise),
            caller_advertise: self.optional_target(Name::CallerAdvertise),
            peer_advertise: self.optional_target(Name::PeerAdvertise),
            control_advertise: self.optional_target(Name::ControlAdvertise),
            statsd: self.optional_target(Name::Statsd),
            otlp: self.optional_target(Name::Otlp),
            trace_per_10k: self.trace_ratio(),
            shutdown_grace: self.grace(),
            log_level: self.log_level(),
            log_format: self.log_format(),
            seed: self
                .parsed(Name::Seed, "is no whole number", "give a number, such as 7")
                .unwrap_or(default_seed),
            instance,
        }
    }

    fn raw(&self, name: Name) -> Option<String> {
        (self.value)(name).or_else(|| name.default().map(str::to_owned))
    }

    fn required(&mut self, name: Name) -> Option<String> {
        let raw = self.raw(name);
        if raw.is_none() && name.is_required() {
            self.faults.push(Fault::Missing {
                flag: name.flag(),
                variable: name.variable(),
                value: name.value(),
                help: name.help(),
            });
        }
        raw
    }

    fn invalid(&mut self, name: Name, given: &str, problem: &'static str, remedy: &'static str) {
        self.faults.push(Fault::Invalid {
            flag: name.flag(),
            variable: name.variable(),
            given: given.to_owned(),
            problem,
            remedy,
        });
    }

    fn parsed<T: FromStr>(
        &mut self,
        name: Name,
        problem: &'static str,
        remedy: &'static str,
    ) -> Option<T> {
        let raw = self.required(name)?;
        let parsed = raw.trim().parse().ok();
        if parsed.is_none() {
            self.invalid(name, &raw, problem, remedy);
        }
        parsed
    }

    fn name(&mut self, name: Name) -> String {
        let Some(raw) = self.required(name) else {
            return String::new();
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if raw.is_empty() || !raw.chars().all(allowed) {
            let remedy = "use letters, digits, '-', '_' and '.'";
            self.invalid(name, &raw, "is no name", remedy);
        } else if raw.len() > MAX_NAME_LEN {
            self.invalid(name, &raw, "is too long", "use at most 128 characters");
        }
        raw
    }

    fn address(&mut self, name: Name) -> Option<SocketAddr> {
        let problem = "is no address";
        self.parsed(name, problem, "give IP:PORT, such as 10.0.0.7:8080")
    }

    fn target(&mut self, name: Name) -> SocketAddr {
        self.optional_target(name)
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn optional_target(&mut self, name: Name) -> Option<SocketAddr> {
        let address = self.address(name)?;
        self.check_target(name, address);
        Some(address)
    }

    fn check_target(&mut self, name: Name, address: SocketAddr) {
        let given = address.to_string();
        if address.port() == 0 {
            self.invalid(name, &given, "has no port", "give the port it listens on");
        }
        if address.ip().is_unspecified() {
            let remedy = "give an address that others can reach";
            self.invalid(name, &given, "is a wildcard", remedy);
        }
    }

    fn targets(&mut self, name: Name) -> Vec<SocketAddr> {
        let raw = self.raw(name).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in raw
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            if let Ok(address) = part.parse() {
                self.check_target(name, address);
                addresses.push(address);
            } else {
                let remedy = "give IP:PORT,IP:PORT and so on";
                self.invalid(name, part, "is no address", remedy);
            }
        }
        addresses
    }

    fn listen(&mut self, name: Name, advertise: Name) -> SocketAddr {
        let Some(address) = self.address(name) else {
            return SocketAddr::from(([127, 0, 0, 1], 0));
        };
        if address.ip().is_unspecified() && self.raw(advertise).is_none() {
            let given = address.to_string();
            let remedy = "also give the matching --…-advertise address";
            self.invalid(name, &given, "cannot be announced", remedy);
        }
        address
    }

    fn trace_ratio(&mut self) -> u32 {
        let remedy = "give a number from 0 to 10000";
        let ratio = self
            .parsed(Name::TracePer10k, "is no whole number", remedy)
            .unwrap_or(0);
        if ratio > TRACE_SCALE {
            self.invalid(
                Name::TracePer10k,
                &ratio.to_string(),
                "is too large",
                remedy,
            );
        }
        ratio
    }

    fn grace(&mut self) -> Duration {
        let remedy = "give whole seconds from 1 to 86400";
        let seconds = self
            .parsed(Name::ShutdownGrace, "is no whole number", remedy)
            .unwrap_or(1);
        if seconds == 0 || seconds > MAX_GRACE_S {
            let problem = "is out of range";
            self.invalid(Name::ShutdownGrace, &seconds.to_string(), problem, remedy);
        }
        Duration::from_secs(seconds)
    }

    fn log_level(&mut self) -> log::LevelFilter {
        let remedy = "give off, error, warn, info or debug";
        self.parsed(Name::LogLevel, "is no level", remedy)
            .unwrap_or(log::LevelFilter::Info)
    }

    fn log_format(&mut self) -> LogFormat {
        let raw = self.raw(Name::LogFormat).unwrap_or_default();
        match raw.as_str() {
            "text" => LogFormat::Text,
            "json" => LogFormat::Json,
            _ => {
                self.invalid(Name::LogFormat, &raw, "is no format", "give text or json");
                LogFormat::Text
            }
        }
    }

    fn compare(&mut self, settings: &Settings) {
        let listeners = [
            (Name::CallerListen, settings.caller_listen),
            (Name::PeerListen, settings.peer_listen),
            (Name::ControlListen, settings.control_listen),
            (Name::BackendServer, settings.backend_server),
        ];
        for (index, &(name, address)) in listeners.iter().enumerate() {
            let earlier = listeners[..index]
                .iter()
                .find(|(_, other)| *other == address && address.port() != 0);
            if let Some(&(other, _)) = earlier {
                self.faults.push(Fault::SamePort {
                    flag: name.flag(),
                    variable: name.variable(),
                    other: other.flag(),
                    given: address,
                });
            }
        }
    }

    fn find_unknown(&mut self, variables: impl Iterator<Item = String>) {
        let known: Vec<_> = Name::ALL.iter().map(|name| name.variable()).collect();
        let unknown = variables
            .filter(|variable| variable.starts_with(Name::VARIABLE_PREFIX))
            .filter(|variable| !known.contains(variable));
        self.faults
            .extend(unknown.map(|variable| Fault::Unknown { variable }));
    }
}
