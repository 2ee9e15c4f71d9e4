//! Failure detection: heartbeats, their responses and failures, accusations and quarantine.

use std::sync::Arc;

use super::{Action, Core, Failure};
use crate::clock::Time;
use crate::membership::message::{Accusation, Heartbeat, Held, News};
use crate::membership::roster::MemberStatus;
use crate::membership::topology::ACCUSERS_REQUIRED;
use crate::membership::{Epoch, InstanceId};

/// Instances out of choice that are probed at a time.
const PROBES_PER_ROUND: usize = 8;

/// One instance that this node sends heartbeats to.
#[derive(Clone, Debug)]
pub(super) struct HeartbeatState {
    /// Whether this node monitors it; else it is a relay elsewhere.
    is_target: bool,
    epoch: Epoch,
    last_answer: Time,
    was_refused: bool,
    in_flight: bool,
    next_at: Time,
    next_accusation_at: Time,
    last_digests: Option<DigestPair>,
}

/// Digests of both sides at a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DigestPair {
    own: u64,
    peer: u64,
}

impl Core {
    /// Answers a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        received: &Heartbeat,
        actions: &mut Vec<Action>,
    ) -> Heartbeat {
        self.detect_own_pause(now, actions);
        self.note_contact(now, received.from);
        self.reconcile(now, received, actions);
        self.apply_pending(now, actions);
        self.heartbeat(received.from)
    }

    /// Takes in the answer to a heartbeat.
    pub fn on_heartbeat_answer(
        &mut self,
        now: Time,
        id: InstanceId,
        answer: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        self.detect_own_pause(now, actions);
        if answer.from != id {
            self.on_heartbeat_failed(now, id, Failure::Refused, actions);
            return;
        }
        self.note_contact(now, id);
        self.suspects.remove(&id);
        self.accusation_log.withdraw(self.own_id, id);
        if self.quarantine.remove(&id) {
            self.probe_zone_peers(id, actions);
        }
        if let Some(state) = self.heartbeat_states.get_mut(&id) {
            state.in_flight = false;
            state.last_answer = now;
            state.was_refused = false;
        }
        self.reconcile(now, answer, actions);
        self.apply_pending(now, actions);
    }

    /// Takes in that a heartbeat was not answered.
    pub fn on_heartbeat_failed(
        &mut self,
        now: Time,
        id: InstanceId,
        failure: Failure,
        actions: &mut Vec<Action>,
    ) {
        self.detect_own_pause(now, actions);
        let retry = now + self.settings.timing.flush_interval;
        if let Some(state) = self.heartbeat_states.get_mut(&id) {
            state.in_flight = false;
            state.was_refused |= failure == Failure::Refused;
            if state.is_target {
                state.next_at = state.next_at.min(retry);
            }
        }
        if self.suspects.remove(&id) {
            self.quarantine.insert(id);
            self.accuse_suspect(id, actions);
        }
        self.apply_pending(now, actions);
    }

    /// Looks at an instance whose link a call has found dead. Unless it
    /// answers, it is out of this node's choice, and its monitors are told.
    pub fn suspect(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        let id = InstanceId::of(name);
        let is_known = id != self.own_id && self.present_epoch(id).is_some();
        if is_known && !self.quarantine.contains(&id) && self.suspects.insert(id) {
            self.probe(id, actions);
        }
    }

    fn accuse_suspect(&self, id: InstanceId, actions: &mut Vec<Action>) {
        if let Some(epoch) = self.present_epoch(id) {
            let monitors = self.topology.monitors_of(id);
            self.send_accusation(&monitors, Accusation { accused: id, epoch }, actions);
        }
    }

    fn probe(&self, id: InstanceId, actions: &mut Vec<Action>) {
        if let Some(address) = self.address(id) {
            actions.push(Action::SendHeartbeat {
                to: id,
                address,
                heartbeat: self.heartbeat(id),
            });
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due: Vec<InstanceId> = self
            .heartbeat_states
            .iter()
            .filter(|(_, state)| !state.in_flight && state.next_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let interval = self.interval(id);
            let next_at = now + self.jitter(interval);
            let heartbeat = self.heartbeat(id);
            let Some(address) = self.address(id) else {
                continue;
            };
            if let Some(state) = self.heartbeat_states.get_mut(&id) {
                state.in_flight = true;
                state.next_at = next_at;
            }
            actions.push(Action::SendHeartbeat {
                to: id,
                address,
                heartbeat,
            });
        }
        self.probe_quarantined(now, actions);
    }

    /// Accuses the silent, and marks those down that others accuse as well.
    pub(super) fn accuse_unresponsive(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.settings.timing;
        self.accusation_log.prune(now, timing.accusation_ttl);
        let targets: Vec<InstanceId> = self.topology.targets.keys().copied().collect();
        for id in targets {
            let Some(epoch) = self.present_epoch(id) else {
                continue;
            };
            if !self.is_unresponsive(now, id) {
                continue;
            }
            self.accusation_log.add(now, self.own_id, id, epoch);
            self.send_due_accusation(now, id, epoch, actions);
            self.mark_down_if_confirmed(now, id, epoch);
        }
    }

    /// Starts afresh with everyone: silence that this node slept through is no
    /// evidence.
    pub(super) fn reset_failure_detection(&mut self, now: Time) {
        self.accusation_log.clear();
        for state in self.heartbeat_states.values_mut() {
            state.last_answer = now;
            state.was_refused = false;
            state.next_at = now;
        }
    }

    /// Keeps one watch for each target and each relay elsewhere.
    pub(super) fn refresh_heartbeat_states(&mut self, now: Time) {
        let mut heartbeat_states = std::mem::take(&mut self.heartbeat_states);
        let targets: Vec<InstanceId> = self.topology.targets.keys().copied().collect();
        let peers = self.topology.peers.clone();
        for (id, is_target) in peers
            .into_iter()
            .map(|id| (id, false))
            .chain(targets.into_iter().map(|id| (id, true)))
        {
            let Some(entry) = self.roster.get(id) else {
                continue;
            };
            let epoch = entry.instance.epoch;
            let reused = heartbeat_states
                .remove(&id)
                .filter(|state| state.epoch == epoch);
            let mut state = reused.unwrap_or_else(|| HeartbeatState::new(now, epoch));
            state.is_target = is_target;
            self.heartbeat_states.insert(id, state);
        }
        let roster = &self.roster;
        let is_present = |id: &InstanceId| {
            let entry = roster.get(*id);
            entry.is_some_and(|entry| entry.standing == MemberStatus::Present)
        };
        self.quarantine.retain(is_present);
        self.suspects.retain(is_present);
    }

    fn heartbeat(&self, to: InstanceId) -> Heartbeat {
        Heartbeat {
            from: self.own_id,
            epoch: self.instance.epoch,
            plan: self.stamp(),
            roster: self.roster.digest(),
            held: self.roster.get(to).map(|entry| Held {
                epoch: entry.instance.epoch,
                standing: entry.standing,
            }),
        }
    }

    /// Acts on what a heartbeat or its answer reveals.
    fn reconcile(&mut self, now: Time, received: &Heartbeat, actions: &mut Vec<Action>) {
        self.correct_peer_entry(now, received, actions);
        let Some(address) = self.address(received.from) else {
            return;
        };
        if received.plan > self.stamp() {
            self.fetch(now, address, actions);
        }
        let digests = DigestPair {
            own: self.roster.digest(),
            peer: received.roster,
        };
        let is_peer = self.topology.peers.contains(&received.from);
        let Some(state) = self.heartbeat_states.get_mut(&received.from) else {
            return;
        };
        let is_unchanged = state.last_digests == Some(digests);
        state.last_digests = Some(digests);
        if digests.own != digests.peer && (is_unchanged || is_peer) {
            self.pull(now, address, actions);
        }
    }

    /// Makes this node known to a peer that holds too little of it, and
    /// present to one that has given it up.
    fn correct_peer_entry(&mut self, now: Time, received: &Heartbeat, actions: &mut Vec<Action>) {
        let own = Held {
            epoch: self.instance.epoch,
            standing: self.standing(),
        };
        let is_newer = |held: Held| (held.epoch, held.standing) > (own.epoch, own.standing);
        if let Some(held) = received.held
            && is_newer(held)
        {
            let may_reannounce = self
                .last_reannounced_at
                .is_none_or(|last| now.since(last) >= self.settings.timing.reannounce_interval_min);
            if may_reannounce {
                self.reannounce(now, held.epoch, actions);
            }
        } else if received.held != Some(own)
            && let Some(address) = self.address(received.from)
        {
            self.push_own(address, actions);
        }
    }

    fn interval(&self, id: InstanceId) -> std::time::Duration {
        let timing = self.settings.timing;
        let is_target = self
            .heartbeat_states
            .get(&id)
            .is_some_and(|state| state.is_target);
        if is_target && self.present_epoch(id).is_some() {
            timing.heartbeat_interval
        } else {
            timing.slow_heartbeat_interval
        }
    }

    /// Probes a few of the instances that are out of this node's choice, in
    /// turn; a parted region must not cost a probe for each of its instances.
    fn probe_quarantined(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.quarantine.is_empty() || now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.settings.timing.slow_heartbeat_interval;
        let after = self
            .quarantine
            .iter()
            .filter(|id| **id > self.last_probed_id);
        let before = self
            .quarantine
            .iter()
            .filter(|id| **id <= self.last_probed_id);
        let probe_ids: Vec<InstanceId> = after
            .chain(before)
            .copied()
            .take(PROBES_PER_ROUND)
            .collect();
        for id in &probe_ids {
            self.probe(*id, actions);
        }
        self.last_probed_id = probe_ids.last().copied().unwrap_or_default();
    }

    /// Probes those in the zone of an instance that has come back.
    fn probe_zone_peers(&self, id: InstanceId, actions: &mut Vec<Action>) {
        let zone_of = |id: InstanceId| self.roster.get(id).map(|entry| &entry.instance.zone);
        for other in &self.quarantine {
            if zone_of(*other) == zone_of(id) {
                self.probe(*other, actions);
            }
        }
    }

    fn is_unresponsive(&self, now: Time, id: InstanceId) -> bool {
        let limit = self.settings.timing.failure_timeout;
        self.heartbeat_states
            .get(&id)
            .is_some_and(|state| state.was_refused || now.since(state.last_answer) >= limit)
    }

    fn present_epoch(&self, id: InstanceId) -> Option<Epoch> {
        let entry = self.roster.get(id)?;
        (entry.standing == MemberStatus::Present).then_some(entry.instance.epoch)
    }

    fn send_due_accusation(
        &mut self,
        now: Time,
        id: InstanceId,
        epoch: Epoch,
        actions: &mut Vec<Action>,
    ) {
        let next_at = now + self.settings.timing.accusation_interval;
        let Some(state) = self.heartbeat_states.get_mut(&id) else {
            return;
        };
        if now < state.next_accusation_at {
            return;
        }
        state.next_accusation_at = next_at;
        let monitors = self.topology.targets.get(&id).cloned().unwrap_or_default();
        self.send_accusation(&monitors, Accusation { accused: id, epoch }, actions);
    }

    fn send_accusation(
        &self,
        monitors: &[InstanceId],
        accusation: Accusation,
        actions: &mut Vec<Action>,
    ) {
        let news = Arc::new(News {
            from: self.own_id,
            plan: self.stamp(),
            delta: None,
            entries: Vec::new(),
            accusations: vec![accusation],
        });
        for monitor in monitors.iter().filter(|id| **id != self.own_id) {
            if let Some(address) = self.address(*monitor) {
                let news = Arc::clone(&news);
                actions.push(Action::Push { address, news });
            }
        }
    }

    /// Marks `id` down when enough monitors say that it does not answer.
    fn mark_down_if_confirmed(&mut self, now: Time, id: InstanceId, epoch: Epoch) {
        let monitors = self.topology.targets.get(&id).map_or(0, Vec::len);
        let needed = monitors.clamp(1, ACCUSERS_REQUIRED);
        let life = self.settings.timing.accusation_ttl;
        if self.accusation_log.count(now, id, epoch, life) >= needed
            && self.roster.set_standing(now, id, epoch, MemberStatus::Down)
        {
            self.pending.entries.insert(id);
        }
    }

    /// Takes in the word of another that `accused` does not answer it.
    pub(super) fn on_accusation(&mut self, now: Time, from: InstanceId, accusation: Accusation) {
        let Accusation { accused, epoch } = accusation;
        self.accusation_log.add(now, from, accused, epoch);
        if let Some(state) = self.heartbeat_states.get_mut(&accused)
            && !state.in_flight
        {
            state.next_at = now;
        }
    }
}

impl HeartbeatState {
    const fn new(now: Time, epoch: Epoch) -> Self {
        Self {
            is_target: false,
            epoch,
            last_answer: now,
            was_refused: false,
            in_flight: false,
            next_at: now,
            next_accusation_at: now,
            last_digests: None,
        }
    }
}
