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
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// A key that this entry has claimed for one call.
pub(super) struct Claim {
    digest: Digest,
    call_id: u64,
    regions: Vec<String>,
    retention: Duration,
    nodes: Vec<Instance>,
}

/// Why a call may not run under its key.
pub(super) enum ClaimError {
    /// Another call holds the key.
    Refused(Reason),
    /// Nobody can tell whether another call holds it.
    Unknown(Loss),
}

/// The key of a call that must not run twice.
pub(super) fn idempotency_key(routable: &Routable) -> Result<Option<&[u8]>, Reason> {
    if routable.idempotent {
        return Ok(None);
    }
    single_key(&routable.headers)
}

fn single_key(fields: &HeaderMap) -> Result<Option<&[u8]>, Reason> {
    let mut keys = fields.get_all(headers::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let has_valid_length = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    if keys.next().is_some() || !has_valid_length {
        return Err(Reason::Malformed);
    }
    Ok(Some(key.as_bytes()))
}

impl Claim {
    /// Claims the key of `routable` at its holders.
    pub(super) async fn acquire(
        entry: &Arc<Entry>,
        routable: &Routable,
        key: &[u8],
    ) -> Result<Self, ClaimError> {
        let parts = &entry.parts;
        if parts.clock.now() < Time::ZERO + parts.settings.idempotency_key_delay {
            return Err(ClaimError::Refused(Reason::Starting));
        }
        let tenant = routable.context.tenant.as_deref().unwrap_or_default();
        let digest = Digest::of(routable.service_name(), tenant, key);
        let regions = routable.context.regions.clone().unwrap_or_default();
        let ranked = rank(&routable.snapshot.view, &regions, digest);
        let claim = Self {
            digest,
            call_id: entry.parts.ids.next(),
            retention: routable.time_left + RETENTION,
            nodes: ranked.into_iter().cloned().collect(),
            regions,
        };
        let mut pending = PendingClaim {
            entry,
            claim: Some(claim),
        };
        pending.claim_at_nodes().await?;
        pending.claim.take().ok_or(ClaimError::Unknown(Loss::Claim))
    }

    /// The first holder decides between calls at the same time, so the second
    /// is asked only by the one that it let through.
    async fn claim_at_nodes(&self, entry: &Entry) -> Result<(), ClaimError> {
        let Some(first) = self.nodes.first() else {
            return Err(ClaimError::Unknown(Loss::Claim));
        };
        let others = self.nodes.iter().skip(HOLDERS);
        let lookups = others.map(|node| self.send(entry, node, Intent::Look));
        let claim = self.send(entry, first, Intent::Claim);
        let (verdict, mut verdicts) = futures::join!(claim, join_all(lookups));
        verdicts.push(verdict);
        check_verdicts(&verdicts)?;
        if let Some(second) = self.nodes.get(1) {
            let verdict = self.send(entry, second, Intent::Claim).await;
            check_verdicts(&[verdict])?;
        }
        Ok(())
    }

    async fn release(&self, entry: &Entry) {
        let holder_nodes = self.nodes.iter().take(HOLDERS);
        join_all(holder_nodes.map(|node| self.send(entry, node, Intent::Release))).await;
    }

    /// Lets the key go, as the call did not run. Does not make the caller wait.
    pub(super) fn release_in_background(self, entry: &Arc<Entry>) {
        let entry = Arc::clone(entry);
        tokio::spawn(async move { self.release(&entry).await });
    }

    async fn send(&self, entry: &Entry, node: &Instance, intent: Intent) -> Verdict {
        let question = Question {
            digest: self.digest,
            call: self.call_id,
            regions: &self.regions,
            intent,
            keep: self.retention,
        };
        let parts = &entry.parts;
        if node.name == parts.place.instance {
            return parts.executor.answer_claim(&question);
        }
        parts
            .links
            .send_claim_request(node.peer, &question, CLAIM_TIMEOUT)
            .await
    }
}

fn check_verdicts(verdicts: &[Verdict]) -> Result<(), ClaimError> {
    if verdicts.contains(&Verdict::Held) {
        return Err(ClaimError::Refused(Reason::Duplicate));
    }
    if verdicts.contains(&Verdict::Unknown) {
        return Err(ClaimError::Unknown(Loss::Claim));
    }
    Ok(())
}

/// A claim that is let go unless all agree, also when the caller goes away.
struct PendingClaim<'a> {
    entry: &'a Arc<Entry>,
    claim: Option<Claim>,
}

impl PendingClaim<'_> {
    async fn claim_at_nodes(&self) -> Result<(), ClaimError> {
        match &self.claim {
            Some(claim) => claim.claim_at_nodes(self.entry).await,
            None => Ok(()),
        }
    }
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release_in_background(self.entry);
        }
    }
}
