//! Which calls count as new, and which as retries of the caller.

use std::time::Duration;

use crate::clock::Time;
use crate::entry::call_age::CallAgeEstimator;

const ROUTE: &str = "calendar";
/// Times left of new calls, in milliseconds.
const NEW_CALLS_MS: [u64; 5] = [1_000, 930, 870, 960, 850];

struct Fixture {
    estimator: CallAgeEstimator,
    now: Time,
}

impl Fixture {
    /// Estimator after `calls` calls with times left of [`NEW_CALLS_MS`], each of them new.
    fn with_calls(calls: usize) -> Self {
        let mut fixture = Self {
            estimator: CallAgeEstimator::default(),
            now: Time::from_millis(1),
        };
        for &left in NEW_CALLS_MS.iter().cycle().take(calls) {
            assert_eq!(fixture.estimate_ms(left), 0);
        }
        fixture
    }

    fn estimate_ms(&mut self, left_ms: u64) -> u128 {
        self.now = self.now + Duration::from_millis(10);
        let left = Duration::from_millis(left_ms);
        self.estimator.estimate(self.now, ROUTE, left).as_millis()
    }
}

fn varying_initial_times() {
    let mut fixture = Fixture::with_calls(0);
    let mut non_zero_estimates = 0;
    for round in 0..2_000_u64 {
        let left = if round % 10 == 0 {
            1_000
        } else {
            40 * (round % 10)
        };
        let estimate_ms = fixture.estimate_ms(left);
        non_zero_estimates += usize::from(round > 1_000 && estimate_ms > 0);
    }
    assert_eq!(non_zero_estimates, 0);
}

fn larger_initial_time_expires() {
    let mut fixture = Fixture::with_calls(50);
    fixture.estimate_ms(5_000);
    assert!(fixture.estimate_ms(1_000) > 0);
    for _ in 0..1_500 {
        fixture.estimate_ms(1_000);
    }
    fixture.now = fixture.now + Duration::from_secs(10);
    fixture.estimate_ms(1_000);
    fixture.now = fixture.now + Duration::from_secs(10);
    fixture.estimate_ms(1_000);
    assert_eq!(fixture.estimate_ms(1_000), 0);
}

cases! {
    call_with_the_usual_time_left_is_new: assert_eq!(Fixture::with_calls(50).estimate_ms(900), 0);
    call_with_much_less_time_left_is_a_retry: {
        let estimate_ms = Fixture::with_calls(50).estimate_ms(500);
        assert!((350..=500).contains(&estimate_ms), "{estimate_ms}");
    };
    first_call_of_a_route_is_new: assert_eq!(Fixture::with_calls(0).estimate_ms(10), 0);
    no_estimate_where_initial_times_vary: varying_initial_times();
    larger_initial_time_expires_after_two_windows: larger_initial_time_expires();
}
