//! A fake store: announcements under leases, and the accepted version.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::membership::Instance;

const TTL: Duration = Duration::from_secs(15);

#[derive(Clone, Default)]
struct Kept {
    revision: u64,
    version: Option<(u64, u64)>,
    announced: BTreeMap<String, Announced>,
    gone: Vec<(u64, String)>,
}

#[derive(Clone)]
struct Announced {
    revision: u64,
    instance: Instance,
    renewed: Time,
}

#[derive(Default)]
pub struct Shelf {
    pub down: bool,
    kept: Kept,
    older: Option<Kept>,
}

pub struct Found {
    pub revision: u64,
    pub version: Option<u64>,
    pub instances: Vec<Instance>,
    pub gone: Vec<String>,
}

impl Shelf {
    pub fn accept(&mut self, version: u64) {
        self.kept.revision += 1;
        self.kept.version = Some((self.kept.revision, version));
    }

    /// Answers reads as of now, until told otherwise.
    pub fn answer_older(&mut self, older: bool) {
        self.older = older.then(|| self.kept.clone());
    }

    /// Renews or writes an announcement, and lets others lapse.
    pub fn announce(&mut self, now: Time, instance: &Instance) {
        if self.down {
            return;
        }
        self.lapse(now);
        let kept = &mut self.kept;
        if let Some(announced) = kept.announced.get_mut(&instance.name)
            && announced.instance == *instance
        {
            announced.renewed = now;
            return;
        }
        if instance.state == crate::membership::State::Leaving {
            return;
        }
        kept.revision += 1;
        let announced = Announced {
            revision: kept.revision,
            instance: instance.clone(),
            renewed: now,
        };
        kept.announced.insert(instance.name.clone(), announced);
    }

    pub fn delete(&mut self, name: &str) {
        if self.down {
            return;
        }
        self.kept.revision += 1;
        self.kept.announced.remove(name);
        self.kept.gone.push((self.kept.revision, name.to_owned()));
    }

    pub fn names(&self) -> Vec<&String> {
        self.kept.announced.keys().collect()
    }

    /// What changed after `seen`; everything when it is zero.
    pub fn read(&self, seen: u64) -> Option<Found> {
        if self.down {
            return None;
        }
        let kept = self.older.as_ref().unwrap_or(&self.kept);
        let announced = kept.announced.values();
        let version = kept.version.filter(|(revision, _)| *revision > seen);
        let gone = kept
            .gone
            .iter()
            .filter(|(revision, _)| seen > 0 && *revision > seen);
        Some(Found {
            revision: kept.revision,
            version: version.map(|(_, version)| version),
            instances: announced
                .filter(|announced| announced.revision > seen)
                .map(|announced| announced.instance.clone())
                .collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
        })
    }

    fn lapse(&mut self, now: Time) {
        let lapsed: Vec<String> = self
            .kept
            .announced
            .iter()
            .filter(|(_, announced)| now.since(announced.renewed) >= TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for name in lapsed {
            self.delete(&name);
        }
    }
}
