//! The usual choosers, to compare the router with.
//!
//! They know zones and drains, but neither distance nor health.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::membership::{ClusterSnapshot, State};
use crate::reason::Reason;
use crate::token_bucket::TokenBucket;

use crate::plan;

use super::key::Backend;
use super::{Ask, Choice, Chooser, Event, Settings};

/// Picks one of the eligible backend servers.
pub trait Pick: Send {
    /// Position of the choice in `open`, which is not empty.
    fn pick(&mut self, open: &[Known], random: &mut ChaCha8Rng) -> usize;
}

/// What a baseline knows of a backend server.
#[derive(Clone, Debug)]
pub struct Known {
    backend: Backend,
    instance: String,
    peer: SocketAddr,
    reported: u32,
    since: u32,
}

/// Any backend server.
#[derive(Debug, Default)]
pub struct Random;

/// One after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// The less loaded of two drawn at random, by the last report and the own
/// dispatches since.
#[derive(Debug, Default)]
pub struct LeastOfTwo;

impl Pick for Random {
    fn pick(&mut self, open: &[Known], random: &mut ChaCha8Rng) -> usize {
        random.random_range(0..open.len())
    }
}

impl Pick for RoundRobin {
    fn pick(&mut self, open: &[Known], _random: &mut ChaCha8Rng) -> usize {
        self.next += 1;
        self.next % open.len()
    }
}

impl Pick for LeastOfTwo {
    fn pick(&mut self, open: &[Known], random: &mut ChaCha8Rng) -> usize {
        let one = random.random_range(0..open.len());
        let step = random.random_range(1..open.len().max(2));
        let other = (one + step) % open.len();
        let load = |index: usize| open[index].reported + open[index].since;
        if load(other) < load(one) { other } else { one }
    }
}

/// A chooser that knows little.
#[derive(Debug)]
pub struct Baseline<P> {
    pick: P,
    random: ChaCha8Rng,
    all: Vec<Known>,
    open: Vec<Known>,
    retries: TokenBucket,
    retry_ratio: f64,
}

impl<P: Pick> Baseline<P> {
    /// A chooser that knows no backend server yet.
    #[must_use]
    pub fn new(pick: P, settings: &Settings, seed: u64) -> Self {
        Self {
            pick,
            random: ChaCha8Rng::seed_from_u64(seed),
            all: Vec::new(),
            open: Vec::new(),
            retries: TokenBucket::new_full(
                settings.retry_burst,
                settings.retry_floor_per_s,
                Time::ZERO,
            ),
            retry_ratio: settings.retry_ratio,
        }
    }

    fn known(&mut self, backend: Backend) -> Option<&mut Known> {
        self.all.get_mut(backend.index())
    }

    fn note(&mut self, instance: &str, peer: SocketAddr) -> &Known {
        let position = self.all.iter().position(|known| known.instance == instance);
        let index = position.unwrap_or(self.all.len());
        if position.is_none() {
            self.all.push(Known {
                backend: Backend {
                    slot: u32::try_from(index).unwrap_or(u32::MAX),
                    generation: 0,
                },
                instance: instance.into(),
                peer,
                reported: 0,
                since: 0,
            });
        }
        &self.all[index]
    }
}

impl<P: Pick> Chooser for Baseline<P> {
    fn update(&mut self, _now: Time, snapshot: &ClusterSnapshot) {
        let plan = &snapshot.plan;
        let in_service = |zone: &str| {
            let key = plan.zone_names.get(zone);
            key.is_none_or(|&key| plan.zone(key).in_service)
        };
        self.open.clear();
        for instance in snapshot.view.iter() {
            let known = self.note(&instance.name, instance.peer).clone();
            if instance.state == State::Present && in_service(&instance.zone) {
                self.open.push(known);
            }
        }
    }

    fn choose(&mut self, _now: Time, ask: &Ask) -> Result<Choice, Reason> {
        let all = &self.all;
        let open = self.open.iter().map(|known| &all[known.backend.index()]);
        let open: Vec<Known> = open
            .filter(|known| !ask.avoid.contains(known.backend))
            .cloned()
            .collect();
        if open.is_empty() {
            return Err(Reason::NoBackendServer);
        }
        let chosen = &open[self.pick.pick(&open, &mut self.random)];
        if let Some(known) = self.known(chosen.backend) {
            known.since += 1;
        }
        Ok(Choice {
            backend: chosen.backend,
            instance: chosen.instance.clone(),
            peer: chosen.peer,
            local: false,
            recall_after: None,
            patience: None,
            expected: Duration::ZERO,
            waits: false,
            load_age: None,
        })
    }

    fn observe(&mut self, _now: Time, backend: Backend, event: &Event) {
        if let Event::Report(load) = event
            && let Some(known) = self.known(backend)
        {
            known.reported = load.in_hand + load.queued;
            known.since = 0;
        }
    }

    fn call_made(&mut self, _now: Time, _service: plan::key::Service) {
        self.retries.add(self.retry_ratio);
    }

    fn may_retry(&mut self, now: Time, _service: plan::key::Service) -> bool {
        self.retries.try_take(now, 1.0)
    }

    fn return_retry(&mut self, _now: Time, _service: plan::key::Service) {
        self.retries.add(1.0);
    }
}
