//! Whether a process takes work while this node may have forgotten that it left.

use super::health;
use crate::backend::registry::Recall;
use crate::clock::Time;
use crate::dialect::HealthReport;

fn partial() -> Recall {
    let mut recall = Recall::default();
    recall.on_told(false);
    recall
}

fn unhealthy(process: &str) -> HealthReport {
    HealthReport {
        healthy: false,
        ..health(process)
    }
}

/// After reports of process `a` at these times, in milliseconds.
fn reported_at(times_ms: &[u64]) -> Recall {
    let mut recall = partial();
    for &time in times_ms {
        recall.on_report(Time::from_millis(time), "a");
    }
    recall
}

cases! {
    nothing_takes_work_before_the_node_knows_what_it_acknowledged: {
        let mut recall = Recall::default();
        recall.on_health(&health("a"));
        recall.on_report(Time::ZERO, "a");
        assert!(!recall.admits("a"));
    };
    everything_takes_work_once_it_knows_all: {
        let mut recall = Recall::default();
        recall.on_told(true);
        assert!(recall.admits("a"));
    };
    late_report_alone_brings_nothing_back: assert!(!reported_at(&[0]).admits("a"));
    late_reports_at_once_bring_nothing_back: assert!(!reported_at(&[0, 1, 2, 3, 900]).admits("a"));
    health_endpoint_that_contradicts_keeps_a_process_out: {
        let mut recall = reported_at(&[0]);
        recall.on_health(&unhealthy("a"));
        assert!(!recall.admits("a"));
    };
    health_endpoint_confirms_a_process: {
        let mut recall = reported_at(&[0]);
        recall.on_health(&health("a"));
        assert!(recall.admits("a"));
    };
    health_endpoint_that_lies_keeps_a_process_out_for_a_short_time: {
        let mut recall = reported_at(&[0, 1_500, 3_000, 4_500]);
        recall.on_health(&unhealthy("a"));
        assert!(!recall.admits("a"));
        recall.on_report(Time::from_millis(6_000), "a");
        assert!(recall.admits("a"));
    };
    evidence_for_one_process_is_none_for_another: {
        let mut recall = partial();
        recall.on_health(&health("a"));
        recall.on_report(Time::ZERO, "b");
        assert!(!recall.admits("b"));
    };
    node_that_is_told_later_knows_all: {
        let mut recall = partial();
        recall.on_told(true);
        assert!(recall.admits("a"));
    };
    confirmed_process_stays_confirmed_when_asking_ends_in_vain: {
        let mut recall = partial();
        recall.on_health(&health("a"));
        recall.on_told(false);
        assert!(recall.admits("a"));
    };
}
