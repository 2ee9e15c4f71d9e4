//! Announcements of the nodes, as the store lists and changes them, and what it holds of this node.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use super::{Announcement, Inner, PreviousAnnouncement, Shared, StoredAnnouncement};
use crate::membership::Epoch;
use crate::store::{Change, Listing, Record};

impl Shared {
    pub(in crate::membership::direct) fn on_nodes_listed(&self, listing: &Listing) {
        let now = self.clock.now();
        let mut announcements = BTreeMap::new();
        let mut previous_announcement = None;
        self.start.on_listed(listing, !self.is_listed());
        for record in &listing.records {
            let Some(announcement) = self.parse_announcement(record) else {
                continue;
            };
            if announcement.instance.name == self.name {
                previous_announcement = Some(StoredAnnouncement {
                    announcement: announcement.clone(),
                    revision: record.revision,
                    lease: record.lease,
                });
            }
            announcements.insert(announcement.instance.name.clone(), announcement);
        }
        let is_restart = previous_announcement.is_some();
        let is_first = self.set_previous_once(previous_announcement);
        let mut state = self.lock();
        if is_first && is_restart {
            state.relays.skip_settling();
        }
        if !is_first && !announcements.contains_key(&self.name) {
            self.announcement_lost.notify_one();
        }
        let instances = announcements.into_values().map(|current| current.instance);
        state.roster.on_listed(now, listing.revision.0, instances);
        self.publish(&mut state);
    }

    pub(in crate::membership::direct) fn on_nodes_changed(&self, changes: Vec<Change>) {
        let now = self.clock.now();
        let mut state = self.lock();
        for change in changes {
            match change {
                Change::Put(record) => {
                    if let Some(announcement) = self.parse_announcement(&record) {
                        state.roster.on_announced(announcement.instance);
                    }
                }
                Change::Delete { key, revision } => {
                    let name = key.strip_prefix(&self.prefix).unwrap_or_default();
                    state.roster.on_deleted(now, name, revision.0);
                    if name == self.name {
                        self.announcement_lost.notify_one();
                    }
                }
            }
        }
        self.publish(&mut state);
    }

    /// Parses an announcement. Its epoch is set to the record revision, which orders the
    /// announcements of one node.
    fn parse_announcement(&self, record: &Record) -> Option<Announcement> {
        let name = record.key.strip_prefix(&self.prefix)?;
        let parsed = serde_json::from_str::<Announcement>(&record.value);
        match parsed {
            Ok(mut announcement) if announcement.instance.name == name => {
                announcement.instance.epoch = Epoch(record.revision.0);
                Some(announcement)
            }
            Ok(_) => None,
            Err(error) => {
                log::warn!("{} in the store is not understood: {error}", record.key);
                None
            }
        }
    }

    /// Records that announcements could not be listed when this node started.
    pub(in crate::membership::direct) fn set_missed_store(&self) {
        self.has_missed_store.store(true, Ordering::Relaxed);
    }

    /// Whether announcements could not be listed when this node started.
    pub(in crate::membership::direct) fn has_missed_store(&self) -> bool {
        self.has_missed_store.load(Ordering::Relaxed)
    }

    /// Whether announcements have been listed since the start.
    pub(super) fn is_listed(&self) -> bool {
        *self.previous_announcement.borrow() != PreviousAnnouncement::Unknown
    }

    /// Returns the announcement that the store held before this start. Waits for the first listing.
    pub(in crate::membership::direct) async fn previous_stored(
        &self,
    ) -> Option<StoredAnnouncement> {
        let mut previous_announcement = self.previous_announcement.subscribe();
        let current = previous_announcement
            .wait_for(|current| *current != PreviousAnnouncement::Unknown)
            .await;
        match current.as_deref() {
            Ok(PreviousAnnouncement::Found(previous_stored)) => Some((**previous_stored).clone()),
            Ok(PreviousAnnouncement::Unknown | PreviousAnnouncement::Absent) | Err(_) => None,
        }
    }

    /// Sets the previous announcement once. Returns whether it was unknown before.
    fn set_previous_once(&self, previous_announcement: Option<StoredAnnouncement>) -> bool {
        self.previous_announcement.send_if_modified(|current| {
            let is_first = *current == PreviousAnnouncement::Unknown;
            if is_first {
                *current = previous_announcement
                    .map_or(PreviousAnnouncement::Absent, |previous_stored| {
                        PreviousAnnouncement::Found(Box::new(previous_stored))
                    });
            }
            is_first
        })
    }

    /// A complete roster without this node means that its announcement was lost.
    pub(super) fn check_own_announcement(&self, state: &Inner) {
        let is_known = self.is_listed();
        let is_announced = state.roster.announced().any(|node| node.name == self.name);
        let was_announced = state.roster.instances().any(|node| node.name == self.name);
        if is_known && was_announced && !is_announced {
            self.announcement_lost.notify_one();
        }
    }
}
