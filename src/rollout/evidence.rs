//! Answers of one backend server since the order of a roll-out.
//!
//! Counts only grow, so a report replaces the one before it and a lost report costs nothing. A
//! new coordinator learns all of it with the next report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Histogram;
use crate::clock::Time;
use crate::plan::Rollout;

/// Largest number of routes that are counted apart.
const ROUTES_MAX: usize = 64;

/// Answers of one backend server, by route.
#[derive(Debug, Default)]
pub struct Evidence {
    order: Option<(Rollout, Time)>,
    version: String,
    routes: BTreeMap<String, Tally>,
}

/// Answers on one route.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) answered: u64,
    pub(super) failed: u64,
    pub(super) latency: Histogram,
}

/// What a gate reports of its backend server.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct VersionReport {
    /// Service of the backend server.
    pub service: String,
    /// Version of the backend server; empty if unknown.
    pub version: String,
    /// Time since the node learned of the order, in milliseconds.
    pub order_age_ms: u64,
    /// Whether the backend server takes work.
    pub accepting: bool,
    /// Calls that run or wait at the gate.
    pub in_hand: u32,
    /// Answers by route.
    pub routes: Vec<RouteTally>,
}

/// Answers of one backend server on one route.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route.
    pub route: String,
    /// Number of answers, failures included.
    pub answered: u64,
    /// Number of failures.
    pub failed: u64,
    /// Response times as bucket and count.
    pub latency: Vec<(u8, u32)>,
}

impl RouteTally {
    /// Answers that came after `earlier`, an earlier report of the same route.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before: BTreeMap<u8, u32> = earlier.latency.iter().copied().collect();
        let latency = self.latency.iter().map(|&(bucket, count)| {
            let known = before.get(&bucket).copied().unwrap_or_default();
            (bucket, count.saturating_sub(known))
        });
        Self {
            route: self.route.clone(),
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            latency: latency.filter(|&(_, count)| count > 0).collect(),
        }
    }
}

impl Evidence {
    /// Takes in the order in force for the own service. Another order or version starts anew.
    pub fn set_order(&mut self, now: Time, order: Option<&Rollout>, version: &str) {
        let known = self.order.as_ref().map(|(order, _)| order);
        if known == order && self.version == version {
            return;
        }
        if known != order {
            self.order = order.map(|order| (order.clone(), now));
        }
        version.clone_into(&mut self.version);
        self.routes.clear();
    }

    /// Records an answer. A cold backend server is slow without being bad, so its response time
    /// does not count.
    pub fn record(&mut self, route: &str, failed: bool, time: Duration, is_cold: bool) {
        if self.order.is_none() {
            return;
        }
        if !self.routes.contains_key(route) {
            if self.routes.len() == ROUTES_MAX {
                return;
            }
            self.routes.insert(route.to_owned(), Tally::default());
        }
        let Some(tally) = self.routes.get_mut(route) else {
            return;
        };
        tally.answered += 1;
        if failed {
            tally.failed += 1;
        } else if !is_cold {
            tally.latency.record(time);
        }
    }

    /// What is reported; `None` without an order.
    #[must_use]
    pub fn report(&self, now: Time, accepting: bool, in_hand: u32) -> Option<VersionReport> {
        let (order, since) = self.order.as_ref()?;
        let age = now.since(*since).as_millis();
        let routes = self.routes.iter().map(|(route, tally)| RouteTally {
            route: route.clone(),
            answered: tally.answered,
            failed: tally.failed,
            latency: tally.latency.filled(),
        });
        Some(VersionReport {
            service: order.service.clone(),
            version: self.version.clone(),
            order_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            accepting,
            in_hand,
            routes: routes.collect(),
        })
    }
}
