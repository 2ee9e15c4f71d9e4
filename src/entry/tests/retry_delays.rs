//! Retry-After delays of refused calls.

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

fn advice(reason: Reason, room_ms: u64) -> RetryAdvice {
    RetryAdvice {
        reason,
        time_until_capacity: Some(Duration::from_millis(room_ms)),
        jitter: 0.5,
    }
}

fn retry_after_ms(advice: &RetryAdvice) -> u128 {
    advice.retry_after(&settings()).as_millis()
}

/// Difference between the longest and the shortest delay of about 100 callers that are refused
/// at the same time.
fn spread_of_100_callers() -> Duration {
    let delay_of = |number: u32| {
        let advice_of_caller = RetryAdvice {
            jitter: f64::from(number) / 100.0,
            ..advice(Reason::Overloaded, 200)
        };
        advice_of_caller.retry_after(&settings())
    };
    let delays = || (0..=100).map(delay_of);
    let shortest = delays().min().unwrap_or_default();
    delays().max().unwrap_or_default().saturating_sub(shortest)
}

cases! {
    call_shed_beside_free_servers_may_retry_soon:
        assert_eq!(retry_after_ms(&advice(Reason::Shed, 0)), 20);
    call_shed_while_all_are_full_waits:
        assert_eq!(retry_after_ms(&advice(Reason::Shed, 150)), 150);
    call_waits_until_there_is_capacity:
        assert_eq!(retry_after_ms(&advice(Reason::Overloaded, 250)), 250);
    delay_has_an_upper_limit:
        assert_eq!(retry_after_ms(&advice(Reason::Overloaded, 9_000)), 400);
    delay_has_a_lower_limit:
        assert_eq!(retry_after_ms(&advice(Reason::Overloaded, 1)), 100);
    no_accepting_server_gives_the_default_delay: {
        let no_capacity = RetryAdvice { time_until_capacity: None, ..advice(Reason::Unreachable, 0) };
        assert_eq!(retry_after_ms(&no_capacity), 100);
    };
    callers_refused_together_get_different_delays:
        assert_eq!(spread_of_100_callers(), Duration::from_millis(100));
    default_settings_add_no_jitter: {
        let delay = advice(Reason::Overloaded, 0).retry_after(&Settings::default());
        assert_eq!(delay, Duration::from_secs(1));
    };
}
