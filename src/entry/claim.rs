//! Claims the idempotency key of a call before the call is sent to a gate.
//!
//! Nodes that rank first for a key (rendezvous hashing) are its holders and record the claim; nodes
//! ranked after them are only queried, as they may have been holders in an earlier view. The call
//! may run if no node knows the key. If a node cannot be reached or cannot tell, the call is not
//! sent and its outcome is reported as unknown. Claims of calls that did not run are released.
//!
//! Input is a checked request and its key; the result is a [`Claim`] or a [`ClaimError`]. This
//! module keeps no state; holders do.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::HeaderMap;

use crate::call::claim::{
    CLAIM_RETENTION, ClaimAction, ClaimRequest, ClaimStatus, Digest, HOLDER_NODES, rank_nodes,
};
use crate::call::{Loss, Reason};
use crate::clock::Time;
use crate::headers;
use crate::membership::Instance;

use super::Entry;
use super::request::Routable;

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Timeout for the response of one node to a claim request.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Claim of an idempotency key for one call.
pub(super) struct Claim {
    digest: Digest,
    call_id: u64,
    regions: Vec<String>,
    retention: Duration,
    nodes: Vec<Instance>,
}

/// Reason why a call with an idempotency key must not run.
pub(super) enum ClaimError {
    /// The call is refused: another call has claimed the key, or the node has just started.
    Refused(Reason),
    /// It is unknown whether another call has claimed the key.
    Unknown(Loss),
}

/// Idempotency key of a call on a route that is not idempotent. Other calls need no claim.
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
    /// Claims `key` for `routable` at its holders, from `delay` after the start of the clock on.
    pub(super) async fn acquire(
        entry: &Arc<Entry>,
        routable: &Routable,
        key: &[u8],
        delay: Duration,
    ) -> Result<Self, ClaimError> {
        let parts = &entry.parts;
        if parts.clock.now() < Time::ZERO + delay {
            return Err(ClaimError::Refused(Reason::Starting));
        }
        let tenant = routable.context.tenant.as_deref().unwrap_or_default();
        let digest = Digest::of(routable.service_name(), tenant, key);
        let regions = routable.context.regions.clone().unwrap_or_default();
        let ranked = rank_nodes(&routable.snapshot.view, &regions, digest);
        let claim = Self {
            digest,
            call_id: entry.parts.ids.next_id(),
            retention: routable.time_left + CLAIM_RETENTION,
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

    /// Claims the key at the holders, one after the other, and queries the other nodes.
    ///
    /// The first holder decides between concurrent calls. Only the call that it accepts sends a
    /// claim request to the second holder.
    async fn claim_at_nodes(&self, entry: &Entry) -> Result<(), ClaimError> {
        let Some(first) = self.nodes.first() else {
            return Err(ClaimError::Unknown(Loss::Claim));
        };
        let others = self.nodes.iter().skip(HOLDER_NODES);
        let lookups = others.map(|node| self.send(entry, node, ClaimAction::Query));
        let claim = self.send(entry, first, ClaimAction::Claim);
        let (verdict, mut verdicts) = futures::join!(claim, join_all(lookups));
        verdicts.push(verdict);
        check_verdicts(&verdicts)?;
        if let Some(second) = self.nodes.get(1) {
            let verdict = self.send(entry, second, ClaimAction::Claim).await;
            check_verdicts(&[verdict])?;
        }
        Ok(())
    }

    async fn release(&self, entry: &Entry) {
        let holder_nodes = self.nodes.iter().take(HOLDER_NODES);
        join_all(holder_nodes.map(|node| self.send(entry, node, ClaimAction::Release))).await;
    }

    /// Releases the key of a call that did not run, without delaying the response to the caller.
    pub(super) fn release_in_background(self, entry: &Arc<Entry>) {
        let entry = Arc::clone(entry);
        tokio::spawn(async move { self.release(&entry).await });
    }

    async fn send(&self, entry: &Entry, node: &Instance, intent: ClaimAction) -> ClaimStatus {
        let question = ClaimRequest {
            digest: self.digest,
            call: self.call_id,
            regions: &self.regions,
            intent,
            keep: self.retention,
        };
        let parts = &entry.parts;
        if node.name == parts.location.instance {
            return parts.executor.answer_claim(&question);
        }
        parts
            .links
            .send_claim_request(node.peer, &question, CLAIM_TIMEOUT)
            .await
    }
}

fn check_verdicts(verdicts: &[ClaimStatus]) -> Result<(), ClaimError> {
    if verdicts.contains(&ClaimStatus::Held) {
        return Err(ClaimError::Refused(Reason::Duplicate));
    }
    if verdicts.contains(&ClaimStatus::Unknown) {
        return Err(ClaimError::Unknown(Loss::Claim));
    }
    Ok(())
}

/// Claim that is released on drop unless every node accepted it. This also covers a caller that
/// disconnects meanwhile.
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
