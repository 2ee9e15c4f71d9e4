//! Claims the idempotency key of a call before it is sent to a gate.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::HeaderMap;

use crate::call::claim::{Digest, HOLDERS, Intent, Question, RETENTION, Verdict, rank};
use crate::call::{Loss, Reason};
use crate::clock::Time;
use crate::headers;
use crate::membership::Instance;

use super::Entry;
use super::request::Routable;

/// Longest key that is taken.
const MAX_KEY_BYTES: usize = 255;

/// Longest time to wait for a node that is asked.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// A key that this entry has claimed for one call.
pub(super) struct Claim {
    digest: Digest,
    call: u64,
    regions: Vec<String>,
    keep: Duration,
    asked: Vec<Instance>,
}

/// Why a call may not run under its key.
pub(super) enum Obstacle {
    /// Another call holds the key.
    Refused(Reason),
    /// Nobody can tell whether another call holds it.
    Unknown(Loss),
}

/// The key of a call that must not run twice.
pub(super) fn key(routable: &Routable) -> Result<Option<&[u8]>, Reason> {
    if routable.idempotent {
        return Ok(None);
    }
    single(&routable.headers)
}

fn single(fields: &HeaderMap) -> Result<Option<&[u8]>, Reason> {
    let mut keys = fields.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let fits = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    if keys.next().is_some() || !fits {
        return Err(Reason::Malformed);
    }
    Ok(Some(key.as_bytes()))
}

impl Claim {
    /// Claims the key of `routable` at its holders.
    pub(super) async fn take(
        entry: &Arc<Entry>,
        routable: &Routable,
        key: &[u8],
    ) -> Result<Self, Obstacle> {
        let parts = &entry.parts;
        if parts.clock.now() < Time::ZERO + parts.settings.keys_after {
            return Err(Obstacle::Refused(Reason::Starting));
        }
        let tenant = routable.context.tenant.as_deref().unwrap_or_default();
        let digest = Digest::of(routable.service_name(), tenant, key);
        let regions = routable.context.regions.clone().unwrap_or_default();
        let ranked = rank(&routable.snapshot.view, &regions, digest);
        let claim = Self {
            digest,
            call: entry.parts.ids.next(),
            keep: routable.time_left + RETENTION,
            asked: ranked.into_iter().cloned().collect(),
            regions,
        };
        let mut pending = Pending {
            entry,
            claim: Some(claim),
        };
        pending.agree().await?;
        pending.claim.take().ok_or(Obstacle::Unknown(Loss::Claim))
    }

    /// The first holder decides between calls at the same time, so the second
    /// is asked only by the one that it let through.
    async fn agree(&self, entry: &Entry) -> Result<(), Obstacle> {
        let Some(first) = self.asked.first() else {
            return Err(Obstacle::Unknown(Loss::Claim));
        };
        let others = self.asked.iter().skip(HOLDERS);
        let looks = others.map(|node| self.ask(entry, node, Intent::Look));
        let claiming = self.ask(entry, first, Intent::Claim);
        let (verdict, mut verdicts) = futures::join!(claiming, join_all(looks));
        verdicts.push(verdict);
        judge(&verdicts)?;
        if let Some(second) = self.asked.get(1) {
            let verdict = self.ask(entry, second, Intent::Claim).await;
            judge(&[verdict])?;
        }
        Ok(())
    }

    async fn release(&self, entry: &Entry) {
        let holders = self.asked.iter().take(HOLDERS);
        join_all(holders.map(|node| self.ask(entry, node, Intent::Release))).await;
    }

    /// Lets the key go, as the call did not run. Does not make the caller wait.
    pub(super) fn release_later(self, entry: &Arc<Entry>) {
        let entry = Arc::clone(entry);
        tokio::spawn(async move { self.release(&entry).await });
    }

    async fn ask(&self, entry: &Entry, node: &Instance, intent: Intent) -> Verdict {
        let question = Question {
            digest: self.digest,
            call: self.call,
            regions: &self.regions,
            intent,
            keep: self.keep,
        };
        let parts = &entry.parts;
        if node.name == parts.place.instance {
            return parts.executor.answer_claim(&question);
        }
        parts.links.ask(node.peer, &question, ASK_TIMEOUT).await
    }
}

fn judge(verdicts: &[Verdict]) -> Result<(), Obstacle> {
    if verdicts.contains(&Verdict::Held) {
        return Err(Obstacle::Refused(Reason::Duplicate));
    }
    if verdicts.contains(&Verdict::Unknown) {
        return Err(Obstacle::Unknown(Loss::Claim));
    }
    Ok(())
}

/// A claim that is let go unless all agree, also when the caller goes away.
struct Pending<'a> {
    entry: &'a Arc<Entry>,
    claim: Option<Claim>,
}

impl Pending<'_> {
    async fn agree(&self) -> Result<(), Obstacle> {
        match &self.claim {
            Some(claim) => claim.agree(self.entry).await,
            None => Ok(()),
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release_later(self.entry);
        }
    }
}
