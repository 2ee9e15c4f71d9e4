//! How many calls a wave of changes takes.

use std::time::Duration;

use crate::membership::direct::WatchPacing;

const MIN: Duration = Duration::from_millis(250);
const MAX: Duration = Duration::from_secs(4);

fn watch_pacing() -> WatchPacing {
    WatchPacing::new(MIN, MAX)
}

/// Watches that return during `changes` that come one each `every`.
fn count_watches(changes: u32, every: Duration) -> u32 {
    let mut watch_pacing = watch_pacing();
    let end = every * changes;
    let mut now = Duration::ZERO;
    let mut returned = 0;
    while now < end {
        let waited = every;
        now += waited + watch_pacing.next_pause(waited);
        returned += 1;
    }
    returned
}

fn quiet_time_ends_the_doubling() {
    let mut watch_pacing = watch_pacing();
    for _ in 0..8 {
        watch_pacing.next_pause(Duration::ZERO);
    }
    assert_eq!(watch_pacing.next_pause(Duration::ZERO), MAX);
    assert_eq!(watch_pacing.next_pause(MAX), MIN);
}

cases! {
    first_change_is_followed_soon: assert_eq!(watch_pacing().next_pause(Duration::from_secs(20)), MIN);
    wave_of_changes_takes_few_calls: {
        let count_watches = count_watches(60, Duration::from_millis(100));
        assert!(count_watches <= 6, "{count_watches}");
    };
    changes_far_apart_are_told_each: assert_eq!(count_watches(10, MAX), 10);
    quiet_time_ends_the_doubling_of_pauses: quiet_time_ends_the_doubling();
    no_pause_stays_none: {
        let mut watch_pacing = WatchPacing::disabled();
        watch_pacing.next_pause(Duration::ZERO);
        assert_eq!(watch_pacing.next_pause(Duration::ZERO), Duration::ZERO);
    };
}
