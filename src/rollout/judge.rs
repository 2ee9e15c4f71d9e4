//! Compares the answers of two versions.
//!
//! There are three tests: failures, and answers beyond the median and the ninth decile of the old
//! version. Each is made for every route and for all routes together, where the routes count as
//! often as the target version answered them. A test is a sequential likelihood ratio against a mixture of alternatives. It
//! may be read after each answer, and exceeds its threshold for a version that is not worse with
//! at most the given probability (Ville's inequality), which all tests share (Bonferroni).
//!
//! A server with more bad answers than all others of the target version together is left out, so
//! that one server on a noisy machine does not condemn a version.

use std::collections::BTreeMap;

use super::evidence::Tally;
use super::{Histogram, RouteTally, Settings};

/// Answers of the old version from which a route is compared with it.
const REFERENCE_ANSWERS_MIN: u64 = 20;
/// Share of failures that is not held against a version, whatever the old one shows.
const FAILURE_SHARE_MIN: f64 = 0.005;
/// The same for a route on which the old version has few answers.
const FAILURE_SHARE_UNKNOWN: f64 = 0.02;
/// Alternatives to the old version's share of failures.
const FAILURE_ALTERNATIVES: [f64; 3] = [0.03, 0.15, 0.5];
/// Alternatives to the old version's share of slow answers, as a part of the rest.
const SLOW_ALTERNATIVES: [f64; 3] = [0.2, 0.45, 0.85];
/// Added to the old version's share of slow answers. The load of the versions is never quite even.
const SLOW_MARGIN: f64 = 0.05;
/// Buckets beyond a quantile of the old version from which an answer counts as slow.
const SLOW_BUCKETS: usize = 2;
/// Standard deviations between an observed share and the bound that is used for it.
const BOUND_DEVIATIONS: f64 = 1.7;
/// Name that stands for all routes together.
const ALL_ROUTES: &str = "*";
/// Servers of the target version with answers from which one may be left out.
const SERVERS_FOR_LEAVE_OUT: usize = 3;

/// What a version does worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// More failures.
    Failures,
    /// Slower answers.
    Slow,
}

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Route that shows it; `*` for all routes together.
    pub route: String,
    /// What was compared.
    pub symptom: Symptom,
    /// Bad answers of the target version.
    pub bad: u64,
    /// Answers of the target version.
    pub answers: u64,
    /// Share of bad answers that the old version may have.
    pub reference: f64,
}

/// Answers of both versions, by route.
#[derive(Debug, Default)]
pub struct Judge {
    old: BTreeMap<String, Tally>,
    /// Tallies of the servers of the target version, in their order.
    target: BTreeMap<String, Vec<Tally>>,
    servers: usize,
}

impl Judge {
    /// Adds the answers of one server of the old version.
    pub fn add_old(&mut self, routes: &[RouteTally]) {
        for route in routes {
            let tally = self.old.entry(route.route.clone()).or_default();
            let added = Tally::from_report(route);
            tally.answered += added.answered;
            tally.failed += added.failed;
            tally.latency.merge(&added.latency);
        }
    }

    /// Adds the answers of one server of the target version.
    pub fn add_target(&mut self, routes: &[RouteTally]) {
        for route in routes {
            let tallies = self.target.entry(route.route.clone()).or_default();
            tallies.resize_with(self.servers, Tally::default);
            tallies.push(Tally::from_report(route));
        }
        self.servers += 1;
    }

    /// First fault that the answers prove.
    #[must_use]
    pub fn find_fault(&self, settings: &Settings) -> Option<Fault> {
        let tests = (self.target.len() as u64 + 1) * Test::ALL.len() as u64;
        let threshold = (number(tests) / settings.false_rollback_probability).ln();
        Test::ALL.into_iter().find_map(|test| {
            let samples = self.target.iter().filter_map(|(route, servers)| {
                let sample = test.sample(self.old.get(route), servers)?;
                Some((route.as_str(), sample))
            });
            let samples: Vec<(&str, Sample)> = samples.collect();
            let pooled = (ALL_ROUTES, Sample::pool(&samples));
            let mut candidates = samples.iter().chain(std::iter::once(&pooled));
            let (route, sample) =
                candidates.find(|(_, sample)| sample.evidence(test) >= threshold)?;
            let (bad, answers) = sample.without_worst();
            Some(Fault {
                route: (*route).to_owned(),
                symptom: test.symptom(),
                bad,
                answers,
                reference: sample.reference,
            })
        })
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug)]
enum Test {
    Failures,
    /// Answers beyond the quantile that this share of the old version's answers exceeds.
    Slow(f64),
}

impl Test {
    const ALL: [Self; 3] = [Self::Failures, Self::Slow(0.5), Self::Slow(0.1)];

    const fn symptom(self) -> Symptom {
        match self {
            Self::Failures => Symptom::Failures,
            Self::Slow(_) => Symptom::Slow,
        }
    }

    /// Bad answers of each server on one route; `None` if they cannot be compared.
    fn sample(self, old: Option<&Tally>, servers: &[Tally]) -> Option<Sample> {
        match self {
            Self::Failures => {
                let known = old.filter(|old| old.answered >= REFERENCE_ANSWERS_MIN);
                let reference = known.map_or(FAILURE_SHARE_UNKNOWN, |old| {
                    upper_bound(old.failed, old.answered).max(FAILURE_SHARE_MIN)
                });
                let counts = servers
                    .iter()
                    .map(|server| (server.failed, server.answered));
                Some(Sample {
                    servers: counts.collect(),
                    reference,
                })
            }
            Self::Slow(quantile) => {
                let old = &old?.latency;
                if old.total() < REFERENCE_ANSWERS_MIN {
                    return None;
                }
                let slow_from = old.bucket_above(quantile) + SLOW_BUCKETS;
                let bound = upper_bound(old.count_from(slow_from), old.total());
                let counts = servers.iter().map(|server| {
                    let latency = &server.latency;
                    (latency.count_from(slow_from), latency.total())
                });
                Some(Sample {
                    servers: counts.collect(),
                    reference: (bound + SLOW_MARGIN).min(0.9),
                })
            }
        }
    }

    /// Shares of bad answers that a bad version may have.
    fn alternatives(self, reference: f64) -> [f64; 3] {
        match self {
            Self::Failures => {
                FAILURE_ALTERNATIVES.map(|share| share.max(3.0 * reference).min(0.99))
            }
            Self::Slow(_) => SLOW_ALTERNATIVES.map(|part| reference + part * (1.0 - reference)),
        }
    }
}

impl Tally {
    fn from_report(route: &RouteTally) -> Self {
        let mut latency = Histogram::default();
        for &(bucket, count) in &route.latency {
            latency.add(bucket, count);
        }
        Self {
            answered: route.answered,
            failed: route.failed.min(route.answered),
            latency,
        }
    }
}

/// Bad answers among all of each server of the target version, and the share that is tolerated.
#[derive(Clone, Debug)]
struct Sample {
    servers: Vec<(u64, u64)>,
    reference: f64,
}

impl Sample {
    /// Joins the routes, server by server.
    fn pool(routes: &[(&str, Self)]) -> Self {
        let mut servers: Vec<(u64, u64)> = Vec::new();
        let mut tolerated = 0.0;
        for (_, sample) in routes {
            servers.resize(servers.len().max(sample.servers.len()), (0, 0));
            for (pooled, &(bad, answers)) in servers.iter_mut().zip(&sample.servers) {
                *pooled = (pooled.0 + bad, pooled.1 + answers);
            }
            let (_, answers) = sum(&sample.servers);
            tolerated += number(answers) * sample.reference;
        }
        let (_, answers) = sum(&servers);
        Self {
            servers,
            reference: tolerated / number(answers).max(1.0),
        }
    }

    /// Sums bad answers and all answers, without a server that has most of the bad ones.
    fn without_worst(&self) -> (u64, u64) {
        let answered = self.servers.iter().filter(|&&(_, answers)| answers > 0);
        let all = sum(&self.servers);
        let worst = self.servers.iter().max().copied().unwrap_or_default();
        if answered.count() >= SERVERS_FOR_LEAVE_OUT && 2 * worst.0 > all.0 {
            (all.0 - worst.0, all.1 - worst.1)
        } else {
            all
        }
    }

    /// Logarithm of the likelihood ratio between the mean of the alternatives and the reference.
    fn evidence(&self, test: Test) -> f64 {
        let (bad, answers) = self.without_worst();
        if answers == 0 {
            return 0.0;
        }
        let (bad, good) = (number(bad), number(answers - bad));
        let ratios = test.alternatives(self.reference).map(|share| {
            bad * (share / self.reference).ln()
                + good * ((1.0 - share) / (1.0 - self.reference)).ln()
        });
        let largest = ratios.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let total: f64 = ratios.iter().map(|ratio| (ratio - largest).exp()).sum();
        largest + (total / 3.0).ln()
    }
}

fn sum(counts: &[(u64, u64)]) -> (u64, u64) {
    counts.iter().fold((0, 0), |(bad, answers), server| {
        (bad + server.0, answers + server.1)
    })
}

/// Upper bound of a share of which `count` of `total` was observed.
fn upper_bound(count: u64, total: u64) -> f64 {
    let (count, total) = (number(count), number(total));
    let share = (count + 1.0) / (total + 2.0);
    share + BOUND_DEVIATIONS * (share * (1.0 - share) / (total + 2.0)).sqrt()
}

#[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
const fn number(count: u64) -> f64 {
    count as f64
}
