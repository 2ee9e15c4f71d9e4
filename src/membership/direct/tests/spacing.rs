//! How many calls a wave of changes takes.

use std::time::Duration;

use crate::membership::direct::Spacing;

const MIN: Duration = Duration::from_millis(250);
const MAX: Duration = Duration::from_secs(4);

fn spacing() -> Spacing {
    Spacing::new(MIN, MAX)
}

/// Watches that return during `changes` that come one each `every`.
fn watches(changes: u32, every: Duration) -> u32 {
    let mut spacing = spacing();
    let end = every * changes;
    let mut now = Duration::ZERO;
    let mut returned = 0;
    while now < end {
        let waited = every;
        now += waited + spacing.after(waited);
        returned += 1;
    }
    returned
}

fn quiet_time_ends_the_doubling() {
    let mut spacing = spacing();
    for _ in 0..8 {
        spacing.after(Duration::ZERO);
    }
    assert_eq!(spacing.after(Duration::ZERO), MAX);
    assert_eq!(spacing.after(MAX), MIN);
}

cases! {
    first_change_is_followed_soon: assert_eq!(spacing().after(Duration::from_secs(20)), MIN);
    wave_of_changes_takes_few_calls: {
        let watches = watches(60, Duration::from_millis(100));
        assert!(watches <= 6, "{watches}");
    };
    changes_far_apart_are_told_each: assert_eq!(watches(10, MAX), 10);
    quiet_time_ends_the_doubling_of_pauses: quiet_time_ends_the_doubling();
    no_pause_stays_none: {
        let mut spacing = Spacing::none();
        spacing.after(Duration::ZERO);
        assert_eq!(spacing.after(Duration::ZERO), Duration::ZERO);
    };
}
