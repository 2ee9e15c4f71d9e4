//! Whether a late report ends the limit of a cold backend server.

use std::time::Duration;

use crate::backend::registry::ColdTime;
use crate::clock::Time;
use crate::gate::Signal;

const COLD: Duration = Duration::from_secs(3);

/// A process whose health endpoint told at 10 s that it is cold.
fn told_cold() -> ColdTime {
    let mut cold = ColdTime::default();
    cold.on_health(Time::from_millis(10_000), "a", COLD);
    cold
}

fn report(cold: &mut ColdTime, at_ms: u64, process: &str) -> Signal {
    cold.on_report(Time::from_millis(at_ms), process, Duration::ZERO)
}

cases! {
    late_report_does_not_end_the_cold:
        assert_eq!(report(&mut told_cold(), 10_100, "a"), Signal::ColdAtLeast(Duration::ZERO));
    report_is_believed_while_the_health_endpoint_is_silent:
        assert_eq!(report(&mut told_cold(), 15_000, "a"), Signal::ColdFor(Duration::ZERO));
    first_report_of_a_process_may_be_late:
        assert_eq!(report(&mut told_cold(), 15_000, "b"), Signal::ColdAtLeast(Duration::ZERO));
    process_without_a_health_endpoint_is_believed_after_a_while: {
        let mut cold = ColdTime::default();
        report(&mut cold, 20_000, "a");
        assert_eq!(report(&mut cold, 26_000, "a"), Signal::ColdFor(Duration::ZERO));
    };
    health_endpoint_is_believed:
        assert_eq!(told_cold().on_health(Time::from_millis(10_100), "a", COLD), Signal::ColdFor(COLD));
}
