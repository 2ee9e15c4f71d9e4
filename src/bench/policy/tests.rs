use std::time::Duration;

use crate::clock::Time;

use super::arrivals;
use super::faults::Faults;
use super::scenario::{MEAN_WORK, Scenario, WARM_UP};

fn same_seed_draws_the_same_calls() {
    let draw = |seed| arrivals::draw(Scenario::Noise, 1, 6, seed);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

fn offered_load_is_the_stated_share_of_slots() {
    let drawn = arrivals::draw(Scenario::Steady70, 10, 6, 1);
    let measured = drawn.iter().filter(|one| one.at >= Time::ZERO + WARM_UP);
    let work: f64 = measured.map(|one| one.work.as_secs_f64()).sum();
    let share = work / (10.0 * 54.0);
    assert!((0.68..0.72).contains(&share), "{share}");
}

fn noise_slows_work_down_and_never_more_than_tenfold() {
    let faults = Faults::draw(Scenario::Noise, 10, 0, 1);
    let ends = (0..10_000).map(|ms| {
        let start = Time::from_millis(ms);
        faults.finish(start, MEAN_WORK).since(start)
    });
    let (mut quiet, mut noisy) = (0_u32, 0_u32);
    for elapsed in ends {
        assert!(elapsed >= MEAN_WORK && elapsed <= MEAN_WORK * 10);
        quiet += u32::from(elapsed == MEAN_WORK);
        noisy += u32::from(elapsed > MEAN_WORK);
    }
    assert!(quiet > 0 && noisy > 0, "{quiet} {noisy}");
}

fn quiet_server_takes_the_work_itself() {
    let faults = Faults::draw(Scenario::Steady50, 10, 0, 1);
    let start = Time::from_millis(9);
    let end = faults.finish(start, Duration::from_millis(7));
    assert_eq!(end, Time::from_millis(16));
}

cases! {
    arrivals_follow_the_seed: same_seed_draws_the_same_calls();
    arrivals_fill_the_stated_share: offered_load_is_the_stated_share_of_slots();
    noise_is_bounded: noise_slows_work_down_and_never_more_than_tenfold();
    no_fault_no_delay: quiet_server_takes_the_work_itself();
}
