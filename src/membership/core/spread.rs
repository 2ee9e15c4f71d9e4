//! Gossip of plan texts and roster entries, and the merge of received ones.

use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;

use super::{Action, Core};
use crate::clock::Time;
use crate::membership::InstanceId;
use crate::membership::message::News;
use crate::membership::roster::Entry;
use crate::membership::text::{SheetText, TextId, Update};
use crate::plan::Plan;

/// Where something was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Store,
    Peer,
}

impl Core {
    /// Takes in news from a peer.
    pub fn receive_news(&mut self, now: Time, news: News, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        self.note_contact(now, news.from);
        self.merge_entries(now, news.entries);
        for accusation in news.accusations {
            self.on_accusation(now, news.from, accusation);
        }
        if news.plan > self.stamp() {
            let made_at = news.delta.and_then(|delta| self.texts.apply(&delta));
            match (made_at, self.address(news.from)) {
                (Some(text), _) => self.accept_text(text, Origin::Peer),
                (None, Some(address)) => self.fetch(now, address, actions),
                (None, None) => {}
            }
        }
        self.apply_pending(now, actions);
    }

    /// Answers a pull: the entries that differ.
    #[must_use]
    pub fn receive_pull(&self, buckets: &[u64]) -> Vec<Entry> {
        self.roster.differing(buckets)
    }

    /// Answers a fetch.
    #[must_use]
    pub fn receive_fetch(&self, have: TextId) -> Update {
        self.texts.update(have)
    }

    /// Takes in the answer to a pull.
    pub fn on_pulled(&mut self, now: Time, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        self.last_contact_at = Some(now);
        self.pull_deadline = now;
        self.merge_entries(now, entries);
        self.apply_pending(now, actions);
    }

    /// Takes in the answer to a fetch.
    pub fn on_fetched(&mut self, now: Time, update: Update, actions: &mut Vec<Action>) {
        self.detect_own_pause(now, actions);
        self.fetch_deadline = now;
        match update {
            Update::Current => {}
            Update::Full(text) => self.accept_text(text, Origin::Peer),
            Update::Delta(delta) => {
                if let Some(text) = self.texts.apply(&delta) {
                    self.accept_text(text, Origin::Peer);
                }
            }
        }
        self.apply_pending(now, actions);
    }

    /// Handles a request to a peer that failed.
    pub fn on_request_failed(&mut self, now: Time) {
        self.fetch_deadline = now;
        self.pull_deadline = now;
    }

    /// Takes in entries. Relays pass on what is new to them, but for what they
    /// learn while they have yet to hear the first peer.
    pub(super) fn merge_entries(&mut self, now: Time, entries: Vec<Entry>) {
        let is_new = |entry: Entry| {
            let id = entry.id();
            self.roster.merge(now, entry).then_some(id)
        };
        let learned: Vec<InstanceId> = entries.into_iter().filter_map(is_new).collect();
        self.refresh_topology(now);
        if self.is_relay() && self.last_contact_at.is_some() {
            self.pending.entries.extend(learned);
        }
    }

    /// Keeps a text if it is newer. It is passed on before it is compiled here.
    pub(super) fn accept_text(&mut self, text: SheetText, origin: Origin) {
        if text.stamp() <= self.stamp() {
            return;
        }
        self.texts.push(text);
        self.pending.plan |= origin == Origin::Store || self.is_relay();
        self.pending.compile = true;
    }

    /// Puts a compiled plan in force, unless a newer one is.
    pub fn on_compiled(
        &mut self,
        now: Time,
        stamp: TextId,
        plan: Result<Plan, Box<dyn Error + Send + Sync>>,
        actions: &mut Vec<Action>,
    ) {
        self.detect_own_pause(now, actions);
        if stamp <= self.in_force {
            return;
        }
        match plan {
            Ok(plan) => {
                self.plan = Arc::new(plan);
                self.in_force = stamp;
            }
            Err(error) => {
                log::error!("plan {} cannot be put in force: {error}", stamp.version);
            }
        }
    }

    /// Requests the newer text of a peer; one request at a time.
    pub(super) fn fetch(&mut self, now: Time, address: SocketAddr, actions: &mut Vec<Action>) {
        if now < self.fetch_deadline {
            return;
        }
        self.fetch_deadline = now + self.settings.timing.request_timeout;
        let have = self.stamp();
        actions.push(Action::Fetch { address, have });
    }

    /// Requests the differing entries of a peer; one request at a time.
    pub(super) fn pull(&mut self, now: Time, address: SocketAddr, actions: &mut Vec<Action>) {
        if now < self.pull_deadline {
            return;
        }
        self.pull_deadline = now + self.settings.timing.request_timeout;
        let buckets = self.roster.buckets().to_vec();
        actions.push(Action::Pull { address, buckets });
    }

    /// Contacts a random known address while isolated.
    pub(super) fn join(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.leaving || !self.is_isolated(now) || now < self.next_join_at {
            return;
        }
        let interval = self.settings.timing.join_interval;
        self.next_join_at = now + self.jitter(interval);
        let Some(address) = self.random_address() else {
            return;
        };
        self.push_own(address, actions);
        self.pull(now, address, actions);
        self.fetch(now, address, actions);
    }

    /// Sends this node's own entry.
    pub(super) fn push_own(&self, address: SocketAddr, actions: &mut Vec<Action>) {
        let news = self.news(&BTreeSet::from([self.own_id]), false);
        actions.push(Action::Push { address, news });
    }

    /// Sends pending news; keeps it while there are no recipients.
    pub(super) fn flush(
        &mut self,
        now: Time,
        recipients: &BTreeSet<InstanceId>,
        actions: &mut Vec<Action>,
    ) {
        if recipients.is_empty() {
            return;
        }
        let entries = std::mem::take(&mut self.pending.entries);
        let news = self.news(&entries, self.pending.plan);
        self.pending.plan = false;
        self.pending.last_flush_at = Some(now);
        for id in recipients {
            if let Some(address) = self.address(*id) {
                let news = Arc::clone(&news);
                actions.push(Action::Push { address, news });
            }
        }
    }

    fn news(&self, entries: &BTreeSet<InstanceId>, include_plan: bool) -> Arc<News> {
        Arc::new(News {
            from: self.own_id,
            plan: self.stamp(),
            delta: include_plan.then(|| self.texts.last_delta()).flatten(),
            entries: entries
                .iter()
                .filter_map(|id| self.roster.get(*id).cloned())
                .collect(),
            accusations: Vec::new(),
        })
    }

    fn random_address(&mut self) -> Option<SocketAddr> {
        let other_entries = self.roster.iter().filter(|(id, _)| *id != self.own_id);
        let mut addresses: Vec<SocketAddr> = other_entries
            .map(|(_, entry)| entry.instance.control)
            .collect();
        addresses.extend(&self.settings.join);
        if addresses.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..addresses.len());
        addresses.get(index).copied()
    }
}
