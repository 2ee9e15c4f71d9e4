//! Spreads plan texts and roster entries, and takes them in.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;

use super::{Action, Core};
use crate::clock::Time;
use crate::membership::Id;
use crate::membership::message::News;
use crate::membership::roster::Entry;
use crate::membership::text::{Stamp, Text, Update};

/// Where something was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Store,
    Peer,
}

impl Core {
    /// Takes in news from a peer.
    pub fn receive_news(&mut self, now: Time, news: News, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        self.hear_from(now, news.from);
        self.learn(now, news.entries);
        for accusation in news.accusations {
            self.hear(now, news.from, accusation);
        }
        if news.plan > self.stamp() && Some(news.plan) != self.rejected {
            let made = news.delta.and_then(|delta| self.texts.apply(&delta));
            match (made, self.address(news.from)) {
                (Some(text), _) => self.adopt(text, Origin::Peer),
                (None, Some(address)) => self.fetch(now, address, actions),
                (None, None) => {}
            }
        }
        self.settle(now, actions);
    }

    /// Answers a pull: the entries that differ.
    #[must_use]
    pub fn receive_pull(&self, buckets: &[u64]) -> Vec<Entry> {
        self.roster.differing(buckets)
    }

    /// Answers a fetch.
    #[must_use]
    pub fn receive_fetch(&self, have: Stamp) -> Update {
        self.texts.update(have)
    }

    /// Takes in the answer to a pull.
    pub fn pulled(&mut self, now: Time, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        self.last_contact = Some(now);
        self.pulling_until = now;
        self.learn(now, entries);
        self.settle(now, actions);
    }

    /// Takes in the answer to a fetch.
    pub fn fetched(&mut self, now: Time, update: Update, actions: &mut Vec<Action>) {
        self.notice_pause(now, actions);
        self.fetching_until = now;
        match update {
            Update::Current => {}
            Update::Full(text) => self.adopt(text, Origin::Peer),
            Update::Delta(delta) => {
                if let Some(text) = self.texts.apply(&delta) {
                    self.adopt(text, Origin::Peer);
                }
            }
        }
        self.settle(now, actions);
    }

    /// Takes in that a question to a peer was not answered.
    pub fn unanswered(&mut self, now: Time) {
        self.fetching_until = now;
        self.pulling_until = now;
    }

    /// Takes in entries. Relays pass on what is new to them, but for what they
    /// learn while they have yet to hear the first peer.
    pub(super) fn learn(&mut self, now: Time, entries: Vec<Entry>) {
        let is_new = |entry: Entry| {
            let id = entry.id();
            self.roster.merge(now, entry).then_some(id)
        };
        let learned: Vec<Id> = entries.into_iter().filter_map(is_new).collect();
        self.refresh_topology(now);
        if self.is_relay() && self.last_contact.is_some() {
            self.pending.entries.extend(learned);
        }
    }

    /// Puts a text in force if it is newer.
    pub(super) fn adopt(&mut self, text: Text, origin: Origin) {
        let stamp = text.stamp();
        if stamp <= self.stamp() || Some(stamp) == self.rejected {
            return;
        }
        match (self.settings.compile)(stamp.version, text.as_str()) {
            Ok(plan) => {
                self.plan = Arc::new(plan);
                self.texts.push(text);
                self.pending.plan |= origin == Origin::Store || self.is_relay();
            }
            Err(error) => {
                self.rejected = Some(stamp);
                log::error!("plan {} cannot be put in force: {error}", stamp.version);
            }
        }
    }

    /// Asks a peer for its newer text, one question at a time.
    pub(super) fn fetch(&mut self, now: Time, address: SocketAddr, actions: &mut Vec<Action>) {
        if now < self.fetching_until {
            return;
        }
        self.fetching_until = now + self.settings.timing.question_timeout;
        let have = self.stamp();
        actions.push(Action::Fetch { address, have });
    }

    /// Asks a peer for the entries that differ, one question at a time.
    pub(super) fn pull(&mut self, now: Time, address: SocketAddr, actions: &mut Vec<Action>) {
        if now < self.pulling_until {
            return;
        }
        self.pulling_until = now + self.settings.timing.question_timeout;
        let buckets = self.roster.buckets().to_vec();
        actions.push(Action::Pull { address, buckets });
    }

    /// Turns to a known address while no peer has been heard.
    pub(super) fn join(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.leaving || !self.has_heard_nothing(now) || now < self.next_join {
            return;
        }
        let interval = self.settings.timing.join_interval;
        self.next_join = now + self.jitter(interval);
        let Some(address) = self.pick_address() else {
            return;
        };
        self.push_own(address, actions);
        self.pull(now, address, actions);
        self.fetch(now, address, actions);
    }

    /// Sends this node's own entry.
    pub(super) fn push_own(&self, address: SocketAddr, actions: &mut Vec<Action>) {
        let news = self.news(&BTreeSet::from([self.me]), false);
        actions.push(Action::Push { address, news });
    }

    /// Sends what is pending; keeps it while there is nobody to tell.
    pub(super) fn flush(
        &mut self,
        now: Time,
        recipients: &BTreeSet<Id>,
        actions: &mut Vec<Action>,
    ) {
        if recipients.is_empty() {
            return;
        }
        let entries = std::mem::take(&mut self.pending.entries);
        let news = self.news(&entries, self.pending.plan);
        self.pending.plan = false;
        self.pending.last_flush = Some(now);
        for id in recipients {
            if let Some(address) = self.address(*id) {
                let news = Arc::clone(&news);
                actions.push(Action::Push { address, news });
            }
        }
    }

    fn news(&self, entries: &BTreeSet<Id>, with_plan: bool) -> Arc<News> {
        Arc::new(News {
            from: self.me,
            plan: self.stamp(),
            delta: with_plan.then(|| self.texts.last_delta()).flatten(),
            entries: entries
                .iter()
                .filter_map(|id| self.roster.get(*id).cloned())
                .collect(),
            accusations: Vec::new(),
        })
    }

    fn pick_address(&mut self) -> Option<SocketAddr> {
        let known = self.roster.iter().filter(|(id, _)| *id != self.me);
        let mut addresses: Vec<SocketAddr> =
            known.map(|(_, entry)| entry.instance.control).collect();
        addresses.extend(&self.settings.join);
        if addresses.is_empty() {
            return None;
        }
        let pick = self.rng.random_range(0..addresses.len());
        addresses.get(pick).copied()
    }
}
