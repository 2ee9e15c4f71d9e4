//! A service of two versions in virtual time: calls, gates that report, and one coordinator.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::plan::Rollout;
use crate::rollout::{Controller, Evidence, Phase, Settings, Split, State};

pub(super) const PERIOD: Duration = Duration::from_secs(12);
const ROUTES: u32 = 10;
const STEP: Duration = Duration::from_millis(50);
const REPORT_STEPS: u128 = 10;
const URGENT_REPORT_STEPS: u128 = 4;
const CONTROLLER_STEPS: u128 = 4;

/// How the target version behaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Behaviour {
    /// Share of failures.
    pub failures: f64,
    /// Factor of the response time.
    pub slowness: f64,
    /// The only route that shows it; every route if none.
    pub route: Option<u32>,
    /// Time since the order from which it shows.
    pub after: Duration,
    /// Share of the calls that the version has to get before it shows.
    pub above_share: f64,
}

impl Behaviour {
    pub(super) const GOOD: Self = Self {
        failures: 0.004,
        slowness: 1.0,
        route: None,
        after: Duration::ZERO,
        above_share: 0.0,
    };
}

/// What became of one roll-out.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub calls: u32,
    /// Calls that the target version got within the period.
    pub exposed: u32,
    /// Calls that it got later than the bound after its fiftieth bad answer.
    pub late: u32,
    pub ended: Option<Phase>,
    pub ended_after: Duration,
}

/// Numbers of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fleet {
    pub servers: u32,
    pub calls_per_s: f64,
    /// Time at which the coordinator dies; another one takes over a second later.
    pub coordinator_dies: Option<Duration>,
}

pub(super) const SMALL: Fleet = Fleet {
    servers: 33,
    calls_per_s: 190.0,
    coordinator_dies: None,
};

fn order() -> Rollout {
    Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: PERIOD,
    }
}

impl Fleet {
    pub(super) fn play(&self, behaviour: Behaviour, seed: u64) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let order = order();
        let mut outcome = Outcome::default();
        let mut controller = Controller::resume(
            order.clone(),
            State::Running,
            Settings::default(),
            Time::ZERO,
        );
        let mut split = Split::new("v2".into());
        let mut gates: Vec<Evidence> = (0..2 * self.servers).map(|_| Evidence::default()).collect();
        for (index, gate) in gates.iter_mut().enumerate() {
            let version = self.version(index);
            gate.set_order(Time::ZERO, Some(&order), version);
        }
        let mut bad = 0;
        let mut fiftieth_bad_at = None;
        for step in 0..(PERIOD.as_millis() / STEP.as_millis() + 60) {
            let elapsed = STEP * u32::try_from(step).expect("few steps");
            let now = Time::ZERO + elapsed;
            let is_down = self
                .coordinator_dies
                .is_some_and(|at| elapsed >= at && elapsed < at + Duration::from_secs(1));
            if self.coordinator_dies == Some(elapsed) {
                controller =
                    Controller::resume(order.clone(), State::Running, Settings::default(), now);
            }
            let directive = controller.directive();
            let is_cutover = directive.phase == Phase::Cutover;
            if !is_down && (is_cutover || step % CONTROLLER_STEPS == 0) {
                controller.step(now, true);
            }
            let report_steps = if directive.is_urgent {
                URGENT_REPORT_STEPS
            } else {
                REPORT_STEPS
            };
            if !is_down && step % report_steps == 0 {
                for (index, gate) in gates.iter().enumerate() {
                    let report = gate.report(now, true, 0).expect("an order");
                    controller.on_report(now, &format!("gate-{index}"), report);
                }
                split.on_directive(now, &controller.directive());
                if controller.is_complete(now) {
                    controller.complete();
                }
            }
            if controller.phase().is_final() && outcome.ended.is_none() {
                outcome.ended = Some(controller.phase());
                outcome.ended_after = elapsed;
            }
            let calls = poisson(&mut rng, self.calls_per_s * STEP.as_secs_f64());
            for _ in 0..calls {
                let lane = split.lane(now, true, false, rng.random());
                let is_target = lane == crate::rollout::Lane::Target;
                let share = controller.directive().share;
                let shows = elapsed >= behaviour.after && share >= behaviour.above_share;
                let route = rng.random_range(0..ROUTES);
                let is_bad = is_target && shows && behaviour.route.is_none_or(|bad| bad == route);
                let (failures, slowness) = if is_bad {
                    (behaviour.failures, behaviour.slowness)
                } else {
                    (Behaviour::GOOD.failures, 1.0)
                };
                let failed = rng.random_bool(failures);
                let noise = if rng.random_bool(0.25) { 5.0 } else { 1.0 };
                let base = 0.2 * rng.random_range(0.7..1.3) * f64::from(1 + route % 3);
                let time = Duration::from_secs_f64(base * noise * slowness);
                let server = rng.random_range(0..self.servers);
                let index = if is_target {
                    self.servers + server
                } else {
                    server
                };
                gates[index as usize].record(&format!("route-{route}"), failed, time, false);
                outcome.calls += u32::from(elapsed < PERIOD);
                if !is_target {
                    continue;
                }
                outcome.exposed += u32::from(elapsed < PERIOD);
                bad += u32::from(is_bad && (failed || slowness > 1.0));
                if bad >= 50 {
                    let since = *fiftieth_bad_at.get_or_insert(elapsed);
                    outcome.late += u32::from(elapsed > since + Duration::from_secs(5));
                }
            }
        }
        outcome
    }

    fn version(&self, index: usize) -> &'static str {
        if index < self.servers as usize {
            "v1"
        } else {
            "v2"
        }
    }
}

/// A Poisson number by multiplication of uniform ones (Knuth).
fn poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
