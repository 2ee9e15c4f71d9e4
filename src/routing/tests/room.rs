//! Expected time until a backend server has capacity.

use std::time::Duration;

use super::harness::{Harness, full, idle, view};
use crate::plan::{Regions, key};
use crate::routing::Settings;

const PAIR: [(&str, &str); 2] = [("near", "morava-a"), ("far", "cechy-a")];

/// Load reports do not decay during a test.
fn settings() -> Settings {
    Settings {
        load_half_life: 1e6,
        ..Settings::default()
    }
}

/// All backend servers are full except the ones named.
fn harness(free: &[&str]) -> Harness {
    let mut harness = Harness::with_settings(&settings(), &PAIR);
    for (name, _) in PAIR {
        let load = if free.contains(&name) { idle() } else { full() };
        harness.router.on_load_report(harness.now, name, &load);
    }
    harness
}

fn room(harness: &Harness, regions: Regions) -> Option<Duration> {
    harness
        .router
        .time_until_capacity(harness.now, key::Service(0), regions)
}

fn morava() -> Regions {
    let mut regions = Regions::NONE;
    regions.insert(key::Region(0));
    regions
}

cases! {
    free_backend_server_has_room_now:
        assert_eq!(room(&harness(&["far"]), Regions::ALL), Some(Duration::ZERO));
    full_ones_have_room_when_their_queue_has_run: {
        let room = room(&harness(&[]), Regions::ALL).unwrap_or_default();
        assert!(room > Duration::from_millis(10), "{room:?}");
    };
    room_abroad_is_none_at_home: {
        let room = room(&harness(&["far"]), morava()).unwrap_or_default();
        assert!(room > Duration::from_millis(10), "{room:?}");
    };
    zones_out_have_none: {
        let mut harness = harness(&["near", "far"]);
        harness.update(&["morava-a", "cechy-a"], &view(&PAIR));
        assert_eq!(room(&harness, Regions::ALL), None);
    };
}
