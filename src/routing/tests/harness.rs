use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::gate::LoadReport;
use crate::membership::{ClusterSnapshot, Epoch, Instance, State, View};
use crate::plan::{Cold, Plan, Region, Regions, Service, Upkeep, Version, Zone, key};
use crate::routing::{Choice, Event, Location, Router, SelectionRequest, Settings, TriedBackends};

pub(super) const SLOTS: u32 = 8;

/// Zones and the index of their region.
const ZONES: [(&str, u16); 4] = [
    ("morava-a", 0),
    ("morava-b", 0),
    ("cechy-a", 1),
    ("cechy-b", 1),
];
const REGIONS: [&str; 2] = ["morava", "cechy"];

pub(super) fn plan(zones_out: &[&str]) -> Plan {
    Plan {
        version: Version(1),
        regions: REGIONS.map(|name| Region { name: name.into() }).into(),
        zones: ZONES
            .iter()
            .map(|&(name, region)| Zone {
                name: name.into(),
                region: key::Region(region),
                in_service: !zones_out.contains(&name),
            })
            .collect(),
        services: vec![Service {
            name: "odber".into(),
            slots: SLOTS,
            cold: Cold {
                allowance: 1,
                steps: 1,
                step_time: Duration::from_secs(1),
            },
            routes: Vec::new(),
            upkeep: Upkeep::default(),
        }],
        region_names: (0_u16..)
            .zip(REGIONS)
            .map(|(index, name)| (name.into(), key::Region(index)))
            .collect(),
        zone_names: (0_u16..)
            .zip(ZONES)
            .map(|(index, (name, _))| (name.into(), key::Zone(index)))
            .collect(),
        service_names: [("odber".to_owned(), key::Service(0))].into(),
        ..Plan::default()
    }
}

pub(super) fn instance(name: &str, zone: &str) -> Instance {
    let address = ([127, 0, 0, 1], 9).into();
    Instance {
        name: name.into(),
        epoch: Epoch(1),
        service: "odber".into(),
        region: zone.split('-').next().unwrap_or_default().into(),
        zone: zone.into(),
        caller: address,
        peer: address,
        control: address,
        state: State::Present,
        version: String::new(),
    }
}

pub(super) fn view(instances: &[(&str, &str)]) -> View {
    let mut view = View::default();
    for (name, zone) in instances {
        view.merge(instance(name, zone));
    }
    view
}

pub(super) fn idle() -> LoadReport {
    LoadReport {
        in_hand: 0,
        queued: 0,
        limit: SLOTS,
        service_time: Duration::from_millis(5),
        accepting: true,
        delay: Duration::ZERO,
    }
}

pub(super) fn full() -> LoadReport {
    LoadReport {
        in_hand: SLOTS,
        queued: 3 * SLOTS,
        ..idle()
    }
}

pub(super) fn request() -> SelectionRequest {
    SelectionRequest {
        service: key::Service(0),
        regions: Regions::ALL,
        worth: 1,
        deadline: Time::from_millis(60_000),
        objective: None,
        bytes: 1_000,
        tried: TriedBackends::default(),
        idempotent: true,
    }
}

/// A router in morava-a with a simulated clock.
pub(super) struct Harness {
    pub(super) router: Router,
    pub(super) now: Time,
}

impl Harness {
    pub(super) fn new(instances: &[(&str, &str)]) -> Self {
        Self::with_settings(&Settings::default(), instances)
    }

    pub(super) fn with_settings(settings: &Settings, instances: &[(&str, &str)]) -> Self {
        let location = Location {
            instance: "entry".into(),
            region: "morava".into(),
            zone: "morava-a".into(),
        };
        let mut harness = Self {
            router: Router::new(*settings, location, 7),
            now: Time::from_millis(1),
        };
        harness.update(&[], &view(instances));
        harness
    }

    pub(super) fn update(&mut self, zones_out: &[&str], view: &View) {
        let snapshot = ClusterSnapshot {
            plan: Arc::new(plan(zones_out)),
            view: Arc::new(view.clone()),
        };
        self.router.update(self.now, &snapshot);
    }

    pub(super) fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub(super) fn choose(&mut self) -> Choice {
        self.router
            .choose(self.now, &request())
            .expect("a backend server")
    }

    pub(super) fn observe(&mut self, choice: &Choice, event: Event) {
        self.router.observe(self.now, choice.backend, &event);
    }

    pub(super) fn answer(&mut self, choice: &Choice, load: LoadReport) {
        let elapsed = Duration::from_millis(5);
        self.observe(choice, Event::Answered { elapsed, bytes: 1 });
        self.observe(choice, Event::Report(load));
    }

    /// Sends calls until every backend server has reported its `load`, given by name.
    pub(super) fn report_all(&mut self, load: impl Fn(&str) -> LoadReport) {
        for _ in 0..64 {
            let choice = self.choose();
            self.answer(&choice, load(&choice.instance));
        }
    }

    /// Returns the instances selected for `calls` calls, each answered at once with `load`.
    pub(super) fn choose_many(
        &mut self,
        calls: usize,
        load: impl Fn(&str) -> LoadReport,
    ) -> Vec<String> {
        let mut chosen = Vec::new();
        for _ in 0..calls {
            let choice = self.choose();
            self.answer(&choice, load(&choice.instance));
            chosen.push(choice.instance);
        }
        chosen
    }
}
