//! Heartbeats, and what follows from an answer or from silence.

use std::sync::Arc;

use super::{Action, Core, Failure};
use crate::clock::Time;
use crate::membership::message::{Accusation, Heartbeat, Held, News};
use crate::membership::roster::Standing;
use crate::membership::topology::WITNESSES;
use crate::membership::{Epoch, Id};

/// Instances out of choice that are probed at a time.
const PROBES_PER_ROUND: usize = 8;

/// One instance that this node sends heartbeats to.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    /// Whether this node monitors it; else it is a relay elsewhere.
    is_target: bool,
    epoch: Epoch,
    last_answer: Time,
    refused: bool,
    in_flight: bool,
    next: Time,
    next_accusation: Time,
    seen: Option<Digests>,
}

/// Digests of both sides at a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digests {
    ours: u64,
    theirs: u64,
}

impl Core {
    /// Answers a heartbeat.
    pub fn receive_beat(
        &mut self,
        now: Time,
        beat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) -> Heartbeat {
        self.notice_pause(now, actions);
        self.hear_from(now, beat.from);
        self.compare(now, beat, actions);
        self.settle(now, actions);
        self.heartbeat(beat.from)
    }

    /// Takes in the answer to a heartbeat.
    pub fn answered(&mut self, now: Time, id: Id, answer: &Heartbeat, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        if answer.from != id {
            self.failed(now, id, Failure::Refused, actions);
            return;
        }
        self.hear_from(now, id);
        self.suspects.remove(&id);
        self.witnesses.withdraw(self.me, id);
        if self.quarantine.remove(&id) {
            self.probe_zone_of(id, actions);
        }
        if let Some(watch) = self.watches.get_mut(&id) {
            watch.in_flight = false;
            watch.last_answer = now;
            watch.refused = false;
        }
        self.compare(now, answer, actions);
        self.settle(now, actions);
    }

    /// Takes in that a heartbeat was not answered.
    pub fn failed(&mut self, now: Time, id: Id, failure: Failure, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        let retry = now + self.settings.timing.flush_interval;
        if let Some(watch) = self.watches.get_mut(&id) {
            watch.in_flight = false;
            watch.refused |= failure == Failure::Refused;
            if watch.is_target {
                watch.next = watch.next.min(retry);
            }
        }
        if self.suspects.remove(&id) {
            self.quarantine.insert(id);
            self.report_suspect(id, actions);
        }
        self.settle(now, actions);
    }

    /// Looks at an instance whose link a call has found dead. Unless it
    /// answers, it is out of this node's choice, and its monitors are told.
    pub fn suspect(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        let id = Id::of(name);
        let is_known = id != self.me && self.present_epoch(id).is_some();
        if is_known && !self.quarantine.contains(&id) && self.suspects.insert(id) {
            self.probe(id, actions);
        }
    }

    fn report_suspect(&self, id: Id, actions: &mut Vec<Action>) {
        if let Some(epoch) = self.present_epoch(id) {
            let monitors = self.topology.monitors_of(id);
            self.tell(&monitors, Accusation { accused: id, epoch }, actions);
        }
    }

    fn probe(&self, id: Id, actions: &mut Vec<Action>) {
        if let Some(address) = self.address(id) {
            actions.push(Action::Beat {
                to: id,
                address,
                heartbeat: self.heartbeat(id),
            });
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn beat(&mut self, now: Time, actions: &mut Vec<Action>) {
        let due: Vec<Id> = self
            .watches
            .iter()
            .filter(|(_, watch)| !watch.in_flight && watch.next <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let interval = self.interval(id);
            let next = now + self.jitter(interval);
            let heartbeat = self.heartbeat(id);
            let Some(address) = self.address(id) else {
                continue;
            };
            if let Some(watch) = self.watches.get_mut(&id) {
                watch.in_flight = true;
                watch.next = next;
            }
            actions.push(Action::Beat {
                to: id,
                address,
                heartbeat,
            });
        }
        self.probe_quarantined(now, actions);
    }

    /// Accuses the silent, and marks those down that others accuse as well.
    pub(super) fn accuse(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.settings.timing;
        self.witnesses.prune(now, timing.accusation_life);
        let targets: Vec<Id> = self.topology.targets.keys().copied().collect();
        for id in targets {
            let Some(epoch) = self.present_epoch(id) else {
                continue;
            };
            if !self.is_silent(now, id) {
                continue;
            }
            self.witnesses.add(now, self.me, id, epoch);
            self.spread_accusation(now, id, epoch, actions);
            self.judge(now, id, epoch);
        }
    }

    /// Starts afresh with everyone: silence that this node slept through is no
    /// evidence.
    pub(super) fn forgive(&mut self, now: Time) {
        self.witnesses.clear();
        for watch in self.watches.values_mut() {
            watch.last_answer = now;
            watch.refused = false;
            watch.next = now;
        }
    }

    /// Keeps one watch for each target and each relay elsewhere.
    pub(super) fn refresh_watches(&mut self, now: Time) {
        let mut watches = std::mem::take(&mut self.watches);
        let targets: Vec<Id> = self.topology.targets.keys().copied().collect();
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
            let kept = watches.remove(&id).filter(|watch| watch.epoch == epoch);
            let mut watch = kept.unwrap_or_else(|| Watch::new(now, epoch));
            watch.is_target = is_target;
            self.watches.insert(id, watch);
        }
        let roster = &self.roster;
        let is_present = |id: &Id| {
            let entry = roster.get(*id);
            entry.is_some_and(|entry| entry.standing == Standing::Present)
        };
        self.quarantine.retain(is_present);
        self.suspects.retain(is_present);
    }

    fn heartbeat(&self, to: Id) -> Heartbeat {
        Heartbeat {
            from: self.me,
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
    fn compare(&mut self, now: Time, beat: &Heartbeat, actions: &mut Vec<Action>) {
        self.defend(now, beat, actions);
        let Some(address) = self.address(beat.from) else {
            return;
        };
        if beat.plan > self.stamp() && Some(beat.plan) != self.rejected {
            self.fetch(now, address, actions);
        }
        let digests = Digests {
            ours: self.roster.digest(),
            theirs: beat.roster,
        };
        let is_peer = self.topology.peers.contains(&beat.from);
        let Some(watch) = self.watches.get_mut(&beat.from) else {
            return;
        };
        let settled = watch.seen == Some(digests);
        watch.seen = Some(digests);
        if digests.ours != digests.theirs && (settled || is_peer) {
            self.pull(now, address, actions);
        }
    }

    /// Makes this node known to a peer that holds too little of it, and
    /// present to one that has given it up.
    fn defend(&mut self, now: Time, beat: &Heartbeat, actions: &mut Vec<Action>) {
        let own = Held {
            epoch: self.instance.epoch,
            standing: self.standing(),
        };
        let is_newer = |held: Held| (held.epoch, held.standing) > (own.epoch, own.standing);
        if let Some(held) = beat.held
            && is_newer(held)
        {
            let rested = self
                .last_bump
                .is_none_or(|last| now.since(last) >= self.settings.timing.bump_interval);
            if rested {
                self.bump(now, held.epoch, actions);
            }
        } else if beat.held != Some(own)
            && let Some(address) = self.address(beat.from)
        {
            self.push_own(address, actions);
        }
    }

    fn interval(&self, id: Id) -> std::time::Duration {
        let timing = self.settings.timing;
        let is_target = self.watches.get(&id).is_some_and(|watch| watch.is_target);
        if is_target && self.present_epoch(id).is_some() {
            timing.heartbeat_interval
        } else {
            timing.slow_heartbeat_interval
        }
    }

    /// Probes a few of the instances that are out of this node's choice, in
    /// turn; a parted region must not cost a probe for each of its instances.
    fn probe_quarantined(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.quarantine.is_empty() || now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.timing.slow_heartbeat_interval;
        let after = self.quarantine.iter().filter(|id| **id > self.last_probed);
        let before = self.quarantine.iter().filter(|id| **id <= self.last_probed);
        let turn: Vec<Id> = after
            .chain(before)
            .copied()
            .take(PROBES_PER_ROUND)
            .collect();
        for id in &turn {
            self.probe(*id, actions);
        }
        self.last_probed = turn.last().copied().unwrap_or_default();
    }

    /// Probes those in the zone of an instance that has come back.
    fn probe_zone_of(&self, id: Id, actions: &mut Vec<Action>) {
        let zone = |id: Id| self.roster.get(id).map(|entry| &entry.instance.zone);
        for other in &self.quarantine {
            if zone(*other) == zone(id) {
                self.probe(*other, actions);
            }
        }
    }

    fn is_silent(&self, now: Time, id: Id) -> bool {
        let limit = self.settings.timing.silence_limit;
        self.watches
            .get(&id)
            .is_some_and(|watch| watch.refused || now.since(watch.last_answer) >= limit)
    }

    fn present_epoch(&self, id: Id) -> Option<Epoch> {
        let entry = self.roster.get(id)?;
        (entry.standing == Standing::Present).then_some(entry.instance.epoch)
    }

    fn spread_accusation(&mut self, now: Time, id: Id, epoch: Epoch, actions: &mut Vec<Action>) {
        let next = now + self.settings.timing.accusation_interval;
        let Some(watch) = self.watches.get_mut(&id) else {
            return;
        };
        if now < watch.next_accusation {
            return;
        }
        watch.next_accusation = next;
        let monitors = self.topology.targets.get(&id).cloned().unwrap_or_default();
        self.tell(&monitors, Accusation { accused: id, epoch }, actions);
    }

    fn tell(&self, monitors: &[Id], accusation: Accusation, actions: &mut Vec<Action>) {
        let news = Arc::new(News {
            from: self.me,
            plan: self.stamp(),
            delta: None,
            entries: Vec::new(),
            accusations: vec![accusation],
        });
        for monitor in monitors.iter().filter(|id| **id != self.me) {
            if let Some(address) = self.address(*monitor) {
                let news = Arc::clone(&news);
                actions.push(Action::Push { address, news });
            }
        }
    }

    /// Marks `id` down when enough monitors say that it does not answer.
    fn judge(&mut self, now: Time, id: Id, epoch: Epoch) {
        let monitors = self.topology.targets.get(&id).map_or(0, Vec::len);
        let needed = monitors.clamp(1, WITNESSES);
        let life = self.settings.timing.accusation_life;
        if self.witnesses.count(now, id, epoch, life) >= needed
            && self.roster.mark(now, id, epoch, Standing::Down)
        {
            self.pending.entries.insert(id);
        }
    }

    /// Takes in the word of another that `accused` does not answer it.
    pub(super) fn hear(&mut self, now: Time, from: Id, accusation: Accusation) {
        let Accusation { accused, epoch } = accusation;
        self.witnesses.add(now, from, accused, epoch);
        if let Some(watch) = self.watches.get_mut(&accused)
            && !watch.in_flight
        {
            watch.next = now;
        }
    }
}

impl Watch {
    const fn new(now: Time, epoch: Epoch) -> Self {
        Self {
            is_target: false,
            epoch,
            last_answer: now,
            refused: false,
            in_flight: false,
            next: now,
            next_accusation: now,
            seen: None,
        }
    }
}
