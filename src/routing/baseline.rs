//! Standard load-balancing policies that the benchmark compares the router with.
//!
//! They respect zones out of service and leaving instances, but ignore distance and health.

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
use super::{Choice, Chooser, Event, SelectionRequest, Settings};

/// Selection policy of a [`Baseline`].
pub trait Pick: Send {
    /// Returns an index into `eligible`, which is not empty.
    fn pick(&mut self, eligible: &[BackendState], rng: &mut ChaCha8Rng) -> usize;
}

/// State that a baseline keeps of a backend server.
#[derive(Clone, Debug)]
pub struct BackendState {
    backend: Backend,
    instance: String,
    peer: SocketAddr,
    reported_calls: u32,
    calls_since_report: u32,
}

/// Selects at random.
#[derive(Debug, Default)]
pub struct Random;

/// Selects in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Selects the less loaded of two random backend servers, by the last load report plus the calls
/// sent since.
#[derive(Debug, Default)]
pub struct PowerOfTwoChoices;

impl Pick for Random {
    fn pick(&mut self, eligible: &[BackendState], rng: &mut ChaCha8Rng) -> usize {
        rng.random_range(0..eligible.len())
    }
}

impl Pick for RoundRobin {
    fn pick(&mut self, eligible: &[BackendState], _rng: &mut ChaCha8Rng) -> usize {
        self.next += 1;
        self.next % eligible.len()
    }
}

impl Pick for PowerOfTwoChoices {
    fn pick(&mut self, eligible: &[BackendState], rng: &mut ChaCha8Rng) -> usize {
        let first = rng.random_range(0..eligible.len());
        let step = rng.random_range(1..eligible.len().max(2));
        let second = (first + step) % eligible.len();
        let load =
            |index: usize| eligible[index].reported_calls + eligible[index].calls_since_report;
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }
}

/// A chooser with a simple policy and a retry budget.
#[derive(Debug)]
pub struct Baseline<P> {
    pick: P,
    rng: ChaCha8Rng,
    backends: Vec<BackendState>,
    eligible: Vec<BackendState>,
    retries: TokenBucket,
    retry_ratio: f64,
}

impl<P: Pick> Baseline<P> {
    /// Creates a chooser without backend servers.
    #[must_use]
    pub fn new(pick: P, settings: &Settings, seed: u64) -> Self {
        Self {
            pick,
            rng: ChaCha8Rng::seed_from_u64(seed),
            backends: Vec::new(),
            eligible: Vec::new(),
            retries: TokenBucket::new_full(
                settings.retry_burst,
                settings.retry_floor_per_s,
                Time::ZERO,
            ),
            retry_ratio: settings.retry_ratio,
        }
    }

    fn backend_mut(&mut self, backend: Backend) -> Option<&mut BackendState> {
        self.backends.get_mut(backend.index())
    }

    fn upsert(&mut self, instance: &str, peer: SocketAddr) -> &BackendState {
        let position = self
            .backends
            .iter()
            .position(|known| known.instance == instance);
        let index = position.unwrap_or(self.backends.len());
        if position.is_none() {
            self.backends.push(BackendState {
                backend: Backend {
                    slot: u32::try_from(index).unwrap_or(u32::MAX),
                    generation: 0,
                },
                instance: instance.into(),
                peer,
                reported_calls: 0,
                calls_since_report: 0,
            });
        }
        &self.backends[index]
    }
}

impl<P: Pick> Chooser for Baseline<P> {
    fn update(&mut self, _now: Time, snapshot: &ClusterSnapshot) {
        let plan = &snapshot.plan;
        let in_service = |zone: &str| {
            let key = plan.zone_names.get(zone);
            key.is_none_or(|&key| plan.zone(key).in_service)
        };
        self.eligible.clear();
        for instance in snapshot.view.iter() {
            let known = self.upsert(&instance.name, instance.peer).clone();
            if instance.state == State::Present && in_service(&instance.zone) {
                self.eligible.push(known);
            }
        }
    }

    fn choose(&mut self, _now: Time, request: &SelectionRequest) -> Result<Choice, Reason> {
        let backends = &self.backends;
        let eligible = self
            .eligible
            .iter()
            .map(|known| &backends[known.backend.index()]);
        let eligible: Vec<BackendState> = eligible
            .filter(|known| !request.tried.contains(known.backend))
            .cloned()
            .collect();
        if eligible.is_empty() {
            return Err(Reason::NoBackendServer);
        }
        let chosen = &eligible[self.pick.pick(&eligible, &mut self.rng)];
        if let Some(known) = self.backend_mut(chosen.backend) {
            known.calls_since_report += 1;
        }
        Ok(Choice {
            backend: chosen.backend,
            instance: chosen.instance.clone(),
            peer: chosen.peer,
            local: false,
            recall_after: None,
            queue_timeout: None,
            expected: Duration::ZERO,
            expects_queueing: false,
            load_age: None,
        })
    }

    fn observe(&mut self, _now: Time, backend: Backend, event: &Event) {
        if let Event::Report(load) = event
            && let Some(known) = self.backend_mut(backend)
        {
            known.reported_calls = load.in_hand + load.queued;
            known.calls_since_report = 0;
        }
    }

    fn on_call(&mut self, _now: Time, _service: plan::key::Service) {
        self.retries.add(self.retry_ratio);
    }

    fn take_retry_token(&mut self, now: Time, _service: plan::key::Service) -> bool {
        self.retries.try_take(now, 1.0)
    }

    fn return_retry_token(&mut self, _now: Time, _service: plan::key::Service) {
        self.retries.add(1.0);
    }
}
