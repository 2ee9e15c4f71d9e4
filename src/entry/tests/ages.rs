//! Which calls have come back.

use std::time::Duration;

use crate::clock::Time;
use crate::entry::call_age::CallAgeEstimator;

const ROUTE: &str = "calendar";
/// Times that new calls have left, in milliseconds.
const NEW: [u64; 5] = [1_000, 930, 870, 960, 850];

struct Known {
    ages: CallAgeEstimator,
    now: Time,
}

impl Known {
    /// Has seen `calls` calls of [`NEW`].
    fn after(calls: usize) -> Self {
        let mut known = Self {
            ages: CallAgeEstimator::default(),
            now: Time::from_millis(1),
        };
        for &left in NEW.iter().cycle().take(calls) {
            assert_eq!(known.age(left), 0);
        }
        known
    }

    fn age(&mut self, left_ms: u64) -> u128 {
        self.now = self.now + Duration::from_millis(10);
        let left = Duration::from_millis(left_ms);
        self.ages.estimate(self.now, ROUTE, left).as_millis()
    }
}

fn times_that_differ() {
    let mut known = Known::after(0);
    let mut old = 0;
    for round in 0..2_000_u64 {
        let left = if round % 10 == 0 {
            1_000
        } else {
            40 * (round % 10)
        };
        let age = known.age(left);
        old += usize::from(round > 1_000 && age > 0);
    }
    assert_eq!(old, 0);
}

fn larger_time_is_forgotten() {
    let mut known = Known::after(50);
    known.age(5_000);
    assert!(known.age(1_000) > 0);
    for _ in 0..1_500 {
        known.age(1_000);
    }
    known.now = known.now + Duration::from_secs(10);
    known.age(1_000);
    known.now = known.now + Duration::from_secs(10);
    known.age(1_000);
    assert_eq!(known.age(1_000), 0);
}

cases! {
    call_with_the_usual_time_left_is_new: assert_eq!(Known::after(50).age(900), 0);
    call_with_much_less_time_left_has_come_back: {
        let age = Known::after(50).age(500);
        assert!((350..=500).contains(&age), "{age}");
    };
    first_call_of_a_route_is_new: assert_eq!(Known::after(0).age(10), 0);
    nothing_is_told_where_times_differ_from_caller_to_caller: times_that_differ();
    larger_time_is_forgotten_after_a_while: larger_time_is_forgotten();
}
