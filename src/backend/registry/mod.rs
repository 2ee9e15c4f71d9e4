//! Keeps gate, connections and announcement in step with a backend server that
//! reports to its node.
//!
//! [`Presence`] decides which process is the backend server. The acknowledgement
//! of a leaving process and the closing of its gate are one step, so nothing
//! reaches the process through this node after it.

mod cold_time;
mod presence;
mod recall;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::fmt;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderValue, Request, header};
use http_body_util::{BodyExt, Empty, Limited};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::call::{Admission, BodyError, SnapshotSource};
use crate::clock::Clock;
use crate::coordination::Local;
use crate::dialect::{Dialect, HealthReport};
use crate::gate::{self, Signal};
use crate::membership::direct::{Announcement, DepartedProcess, Membership, Recollection};
use crate::membership::{Instance, State};
use crate::plan::{Cold, Plan};

use super::{Client, Current, Http};

pub use cold_time::ColdTime;
pub use presence::{Known, Presence, Reaction, Report};
pub use recall::Recall;

/// Longest body of a health answer that is read, in bytes.
const HEALTH_BODY_LIMIT_BYTES: usize = 64 * 1024;
/// Time for which a node that starts waits to be told what it acknowledged, before it relies on the
/// health endpoint.
const RECALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the answer to a report waits for the health endpoint.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// How a backend server is looked after.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two questions to the health endpoint.
    pub probe_interval: Duration,
    /// Longest time one may take.
    pub probe_timeout: Duration,
    /// Gate of a backend server, before it and its plan say more.
    pub gate: gate::Settings,
    /// Calls that a cold backend server may get for each call a second that the plan states.
    pub cold_rate_factor: f64,
}

impl Settings {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
    fn cold_rate(&self, per_s: u32) -> u32 {
        (f64::from(per_s) * self.cold_rate_factor.max(1.0)) as u32
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(100),
            probe_timeout: Duration::from_millis(500),
            gate: gate::Settings::default(),
            cold_rate_factor: 1.0,
        }
    }
}

/// What a registry acts on.
pub struct Parts {
    /// This node as it is announced while its backend server takes work.
    pub instance: Instance,
    /// Where the backend server listens.
    pub address: std::net::SocketAddr,
    /// The process that takes work.
    pub server: Arc<Current>,
    /// Its gate.
    pub admission: Arc<Admission>,
    /// Connections to it for calls.
    pub client: Arc<Http>,
    /// Connections to its health endpoint. Answers there name no call, so that a late copy of one
    /// must not meet a call.
    pub health_client: Arc<Http>,
    /// Its headers.
    pub dialect: Arc<dyn Dialect>,
    /// Announcement of this node.
    pub member: Arc<Membership>,
    /// What roll-outs are told of it.
    pub local: Arc<Local>,
    /// How it is looked after.
    pub settings: Settings,
    /// Clock of the node.
    pub clock: Clock,
}

/// Looks after the backend server beside this node.
pub struct Registry {
    parts: Parts,
    state: Mutex<Shelf>,
    /// Asks for a question to the health endpoint.
    probe_wanted: Notify,
    /// Tells that the health endpoint has answered, or not in time.
    probe_done: Notify,
}

struct Shelf {
    presence: Presence,
    recall: Recall,
    cold_time: ColdTime,
    /// Services of the plan in force; empty without one.
    services: BTreeSet<String>,
    /// What was passed on last.
    passed: Option<Known>,
    /// Departure that was announced last.
    announced_departure: Option<DepartedProcess>,
    /// Last departure that the store or a witness keeps.
    kept_departure: Option<DepartedProcess>,
    stopping: bool,
}

impl Shelf {
    /// Whether the plan names the service, or there is no plan yet.
    fn is_named(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains(service)
    }

    /// The process that is known, unless it may be one that has left.
    fn known(&self) -> Option<&Known> {
        let admitted = |known: &&Known| known.leaving || self.recall.admits(&known.process);
        self.presence.known().filter(admitted)
    }
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Registry").finish_non_exhaustive()
    }
}

impl Registry {
    /// A registry that knows nothing yet.
    #[must_use]
    pub fn new(parts: Parts) -> Arc<Self> {
        let presence = Presence::new(parts.address);
        Arc::new(Self {
            parts,
            state: Mutex::new(Shelf {
                presence,
                recall: Recall::default(),
                cold_time: ColdTime::default(),
                services: BTreeSet::new(),
                passed: None,
                announced_departure: None,
                kept_departure: None,
                stopping: false,
            }),
            probe_wanted: Notify::new(),
            probe_done: Notify::new(),
        })
    }

    /// Takes in a report of a backend server.
    pub fn report(&self, report: &Report) -> Reaction {
        let mut state = self.lock();
        let reaction = if state.is_named(&report.service) || report.leaving {
            state.presence.report(report)
        } else {
            // Something else writes here too; what is known holds.
            Reaction::Outdated
        };
        if reaction == Reaction::Accepted {
            let is_known = state.presence.known().is_some_and(|known| {
                known.process == report.process && known.born_ms == report.born_ms
            });
            if is_known {
                let now = self.parts.clock.now();
                state.recall.on_report(now, &report.process);
            }
            self.settle(&mut state);
            // A process that left before says nothing of the one in use.
            if is_known && let Some(cold_for) = report.cold_for {
                let now = self.parts.clock.now();
                let signal = state.cold_time.on_report(now, &report.process, cold_for);
                self.parts.admission.on_signal(signal);
            }
        } else {
            log::debug!(
                "report {} of {} is {}",
                report.sequence,
                report.process,
                reaction.as_str()
            );
        }
        reaction
    }

    /// Asks the health endpoint about a process that has reported and that nothing else speaks for,
    /// so that it takes work once its report is answered.
    pub async fn confirm(&self, process: &str) {
        let probe_done = self.probe_done.notified();
        if self.lock().recall.admits(process) {
            return;
        }
        self.probe_wanted.notify_one();
        // Without an answer, the process takes work once one comes.
        let _ = timeout(CONFIRM_TIMEOUT, probe_done).await;
    }

    /// Takes in that a process leaves; closes its gate before it returns.
    pub fn leave(&self, process: &str, born_ms: Option<u64>) -> Reaction {
        let mut state = self.lock();
        let reaction = state.presence.leave(process, born_ms, unix_ms());
        self.settle(&mut state);
        reaction
    }

    /// Keeps the acknowledged departures beyond this process. Returns whether somebody else has them
    /// now, so that they may be acknowledged.
    pub async fn keep_departures(&self) -> bool {
        let (last, departed) = {
            let state = self.lock();
            let last = state.presence.last_departed().cloned();
            if last == state.kept_departure {
                return true;
            }
            (last, state.presence.departed().iter().cloned().collect())
        };
        let is_kept = self.parts.member.keep_departures(departed).await;
        if is_kept {
            self.lock().kept_departure = last;
        } else {
            log::warn!(
                "neither the store nor another node hears that the backend server leaves; it is \
                 not acknowledged before one does"
            );
        }
        is_kept
    }

    /// Announces that this node leaves, and takes no further report up.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopping = true;
        self.announce(&mut state);
    }

    /// Puts the settings of the plan in force at the gate.
    pub fn take_up(&self, plan: &Plan) {
        self.parts.local.set_plan(self.parts.clock.now(), plan);
        let mut state = self.lock();
        state.services = plan.service_names.keys().cloned().collect();
        if let Some(known) = state.presence.known() {
            self.configure(plan, known);
        }
    }

    /// Recalls what was acknowledged before the start, and asks the health endpoint until dropped.
    pub async fn run(self: Arc<Self>, snapshot_source: Arc<dyn SnapshotSource>) {
        tokio::join!(self.recollect(), self.probe_regularly(snapshot_source));
    }

    /// Without an answer of the store, the node goes on with what it does not know.
    async fn recollect(&self) {
        let recollection = self.parts.member.recollect(|known| self.recall(known));
        let mut recollection = pin!(recollection);
        let in_time = timeout(RECALL_TIMEOUT, &mut recollection).await;
        let recollection = if let Ok(recollection) = in_time {
            recollection
        } else {
            self.recall(Recollection::default());
            recollection.await
        };
        log_recollection(&recollection);
        self.recall(recollection);
    }

    fn recall(&self, recollection: Recollection) {
        let mut state = self.lock();
        for departed in recollection.departed {
            state.presence.recall(departed);
        }
        state.recall.on_told(recollection.is_complete);
        if recollection.stored.is_some() {
            state.announced_departure = recollection.stored;
        }
        self.settle(&mut state);
    }

    async fn probe_regularly(&self, snapshot_source: Arc<dyn SnapshotSource>) {
        loop {
            if self.parts.server.take_misdirected() {
                let mut state = self.lock();
                state.presence.misdirected();
                self.settle(&mut state);
            }
            let plan = Arc::clone(&snapshot_source.snapshot().plan);
            if let Some(path) = self.health_path(&plan)
                && let Some(health) = self.probe(&path).await
            {
                self.probed(&plan, &health);
            }
            self.probe_done.notify_waiters();
            tokio::select! {
                () = sleep(self.parts.settings.probe_interval) => {}
                () = self.probe_wanted.notified() => {}
                () = self.parts.admission.load_query_requested() => {}
            }
        }
    }

    /// A process that leaves is asked nothing more.
    fn health_path(&self, plan: &Plan) -> Option<String> {
        let state = self.lock();
        let known = state.presence.known();
        if known.is_some_and(|known| known.leaving) {
            return None;
        }
        let service = known.map_or(&self.parts.instance.service, |known| &known.service);
        let key = plan.service_names.get(service)?;
        plan.service(*key).upkeep.health_path.clone()
    }

    async fn probe(&self, path: &str) -> Option<HealthReport> {
        let body = Empty::new()
            .map_err(|_| BodyError::Withdrawn)
            .boxed_unsync();
        let mut request = Request::get(path).body(body).ok()?;
        let host = HeaderValue::from_str(&self.parts.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        let asking = async {
            let connection = self.parts.health_client.connect(false).await.ok()?;
            let response = connection.send(request).await.ok()?;
            let (head, body) = response.into_parts();
            Limited::new(body, HEALTH_BODY_LIMIT_BYTES)
                .collect()
                .await
                .ok()?;
            Some(self.parts.dialect.read_health(&head))
        };
        timeout(self.parts.settings.probe_timeout, asking)
            .await
            .ok()
            .flatten()
    }

    fn probed(&self, plan: &Plan, health: &HealthReport) {
        let mut state = self.lock();
        let service = &self.parts.instance.service;
        let is_known = state.presence.probed(service, health);
        state.recall.on_health(health);
        self.settle(&mut state);
        if !is_known {
            return;
        }
        if let Some(known) = state.presence.known() {
            self.configure(plan, known);
        }
        if let Some((process, cold_for)) = health.process.as_ref().zip(health.cold_for) {
            let now = self.parts.clock.now();
            let signal = state.cold_time.on_health(now, process, cold_for);
            self.parts.admission.on_signal(signal);
        }
        for &signal in &health.signals {
            self.parts.admission.on_signal(signal);
        }
        self.parts.admission.on_signal(Signal::Reachable);
    }

    /// Passes on what has changed.
    fn settle(&self, state: &mut Shelf) {
        let known = state.known().cloned();
        if known == state.passed {
            // A process that this node did not know may have left.
            if state.presence.last_departed() != state.announced_departure.as_ref() {
                self.announce(state);
            }
            return;
        }
        let parts = &self.parts;
        let is_new = |old: &Known| !is_same(old, known.as_ref());
        if state.passed.as_ref().is_none_or(is_new) {
            parts.client.forget();
            parts.health_client.forget();
            if let Some(known) = &known {
                parts.admission.on_signal(Signal::Boot(fingerprint(known)));
            }
        }
        match &known {
            Some(known) if known.leaving => {
                parts.server.set(None);
                parts.admission.on_signal(Signal::Draining);
            }
            Some(_) => parts.server.set(state.presence.server()),
            None => parts.server.set(None),
        }
        log_change(state.passed.as_ref(), known.as_ref());
        if let Some(known) = &known {
            parts
                .local
                .set_backend_server(&known.service, &known.version);
        }
        state.passed = known;
        self.announce(state);
    }

    fn announce(&self, state: &mut Shelf) {
        let departed: Option<DepartedProcess> = state.presence.last_departed().cloned();
        state.announced_departure.clone_from(&departed);
        let takes_work = state.known().is_some() && !state.stopping;
        let server = state.presence.server().filter(|_| takes_work);
        let mut instance = self.parts.instance.clone();
        match server {
            Some(server) => {
                instance.service = server.service;
                instance.version = server.version;
            }
            None => instance.state = State::Leaving,
        }
        self.parts
            .member
            .announce(Announcement { instance, departed });
    }

    fn configure(&self, plan: &Plan, known: &Known) {
        let Some(&key) = plan.service_names.get(&known.service) else {
            return;
        };
        let upkeep = &plan.service(key).upkeep;
        self.parts.admission.configure(gate::Settings {
            slots: known.slots,
            cold: Cold {
                allowance: known.slots,
                steps: 1,
                step_time: Duration::ZERO,
            },
            cold_calls_per_s: upkeep
                .cold_per_s
                .map(|per_s| self.parts.settings.cold_rate(per_s)),
            cold_time: upkeep.cold_time,
            ..self.parts.settings.gate
        });
    }

    /// Every step leaves the presence valid, so a panic elsewhere does too.
    fn lock(&self) -> MutexGuard<'_, Shelf> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether `new` is the same process as `old`, maybe better known.
fn is_same(old: &Known, new: Option<&Known>) -> bool {
    new.is_some_and(|new| {
        let same_start = old.born_ms.is_none() || old.born_ms == new.born_ms;
        old.process == new.process && same_start
    })
}

fn fingerprint(known: &Known) -> u64 {
    xxh3_64(format!("{}@{:?}", known.process, known.born_ms).as_bytes())
}

fn log_recollection(recollection: &Recollection) {
    let rest = if recollection.is_complete {
        "no other can be missing"
    } else {
        "others may be missing, so one takes work only once it is confirmed"
    };
    let departed = recollection.departed.len();
    log::info!("{departed} backend server processes that left were recalled; {rest}");
}

fn log_change(old: Option<&Known>, new: Option<&Known>) {
    match (old, new) {
        (_, Some(new)) if new.leaving => {
            log::info!("backend server {} leaves", new.process);
        }
        (Some(old), Some(new)) if is_same(old, Some(new)) && old.service == new.service => {}
        (_, Some(new)) => log::info!(
            "backend server {} of service {} takes work, {} at a time",
            new.process,
            new.service,
            new.slots
        ),
        (Some(old), None) => log::warn!("backend server {} is gone", old.process),
        (None, None) => {}
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}
