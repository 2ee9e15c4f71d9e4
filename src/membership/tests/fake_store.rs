//! A fake store: announcements under leases, and the accepted version.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::Instance;

const TTL: Duration = Duration::from_secs(15);

#[derive(Clone, Default)]
struct StoreState {
    revision: u64,
    version: Option<(u64, u64)>,
    announced: BTreeMap<String, Announced>,
    deleted: Vec<(u64, String)>,
}

#[derive(Clone)]
struct Announced {
    revision: u64,
    instance: Instance,
    renewed_at: Time,
}

#[derive(Default)]
pub struct FakeStore {
    pub down: bool,
    state: StoreState,
    stale_state: Option<StoreState>,
}

pub struct StoreChanges {
    pub revision: u64,
    pub version: Option<u64>,
    pub instances: Vec<Instance>,
    pub deleted: Vec<String>,
}

impl FakeStore {
    pub fn accept(&mut self, version: u64) {
        self.state.revision += 1;
        self.state.version = Some((self.state.revision, version));
    }

    /// Answers reads as of now, until told otherwise.
    pub fn set_stale(&mut self, stale_state: bool) {
        self.stale_state = stale_state.then(|| self.state.clone());
    }

    /// Renews or writes an announcement, and lets others lapse.
    pub fn announce(&mut self, now: Time, instance: &Instance) {
        if self.down {
            return;
        }
        self.delete_lapsed(now);
        let state = &mut self.state;
        if let Some(announced) = state.announced.get_mut(&instance.name)
            && announced.instance == *instance
        {
            announced.renewed_at = now;
            return;
        }
        if instance.state == crate::membership::State::Leaving {
            return;
        }
        state.revision += 1;
        let announced = Announced {
            revision: state.revision,
            instance: instance.clone(),
            renewed_at: now,
        };
        state.announced.insert(instance.name.clone(), announced);
    }

    pub fn delete(&mut self, name: &str) {
        if self.down {
            return;
        }
        self.state.revision += 1;
        self.state.announced.remove(name);
        self.state
            .deleted
            .push((self.state.revision, name.to_owned()));
    }

    pub fn names(&self) -> Vec<&String> {
        self.state.announced.keys().collect()
    }

    /// What changed after `after_revision`; everything when it is zero.
    pub fn read(&self, after_revision: u64) -> Option<StoreChanges> {
        if self.down {
            return None;
        }
        let state = self.stale_state.as_ref().unwrap_or(&self.state);
        let announced = state.announced.values();
        let version = state
            .version
            .filter(|(revision, _)| *revision > after_revision);
        let deleted = state
            .deleted
            .iter()
            .filter(|(revision, _)| after_revision > 0 && *revision > after_revision);
        Some(StoreChanges {
            revision: state.revision,
            version: version.map(|(_, version)| version),
            instances: announced
                .filter(|announced| announced.revision > after_revision)
                .map(|announced| announced.instance.clone())
                .collect(),
            deleted: deleted.map(|(_, name)| name.clone()).collect(),
        })
    }

    fn delete_lapsed(&mut self, now: Time) {
        let lapsed_names: Vec<String> = self
            .state
            .announced
            .iter()
            .filter(|(_, announced)| now.since(announced.renewed_at) >= TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed_names {
            self.delete(&name);
        }
    }
}
