//! When callers that were refused may come back.

use std::time::Duration;

use crate::call::Reason;
use crate::entry::{RetryAdvice, Settings};

fn settings() -> Settings {
    Settings {
        retry_after_min: Duration::from_millis(20),
        retry_after: Duration::from_millis(100),
        retry_after_max: Duration::from_millis(400),
        retry_jitter_share: 0.25,
        ..Settings::default()
    }
}

fn comeback(reason: Reason, room_ms: u64) -> RetryAdvice {
    RetryAdvice {
        reason,
        time_until_capacity: Some(Duration::from_millis(room_ms)),
        jitter: 0.5,
    }
}

fn after_ms(comeback: &RetryAdvice) -> u128 {
    comeback.retry_after(&settings()).as_millis()
}

/// A hundred callers that are refused at the same time.
fn spread_of_a_hundred() -> Duration {
    let after = |number: u32| {
        let drawn = RetryAdvice {
            jitter: f64::from(number) / 100.0,
            ..comeback(Reason::Overloaded, 200)
        };
        drawn.retry_after(&settings())
    };
    let all = || (0..=100).map(after);
    let shortest = all().min().unwrap_or_default();
    all().max().unwrap_or_default().saturating_sub(shortest)
}

cases! {
    call_shed_beside_free_servers_may_come_back_soon:
        assert_eq!(after_ms(&comeback(Reason::Shed, 0)), 20);
    call_shed_where_all_are_full_waits:
        assert_eq!(after_ms(&comeback(Reason::Shed, 150)), 150);
    call_waits_until_there_is_room:
        assert_eq!(after_ms(&comeback(Reason::Overloaded, 250)), 250);
    call_never_waits_longer_than_is_of_use:
        assert_eq!(after_ms(&comeback(Reason::Overloaded, 9_000)), 400);
    short_queue_does_not_call_everyone_back_at_once:
        assert_eq!(after_ms(&comeback(Reason::Overloaded, 1)), 100);
    nobody_that_takes_work_gives_the_usual_time: {
        let nobody = RetryAdvice { time_until_capacity: None, ..comeback(Reason::Unreachable, 0) };
        assert_eq!(after_ms(&nobody), 100);
    };
    callers_refused_together_come_back_apart:
        assert_eq!(spread_of_a_hundred(), Duration::from_millis(100));
    whole_seconds_are_told_unspread: {
        let after = comeback(Reason::Overloaded, 0).retry_after(&Settings::default());
        assert_eq!(after, Duration::from_secs(1));
    };
}
