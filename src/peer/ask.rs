//! Asks another node about an idempotency key.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::call::claim::{ClaimRequest, ClaimStatus};

use super::links::Links;
use super::wire::{self, Claim, Claimed, Encoder, Raw, kind};

impl Links {
    /// What the node at `address` says; unknown when it does not say in time.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: &ClaimRequest<'_>,
        time_left: Duration,
    ) -> ClaimStatus {
        let asked = timeout(time_left, self.ask_claim(address, question)).await;
        asked.ok().flatten().unwrap_or_default()
    }

    async fn ask_claim(
        &self,
        address: SocketAddr,
        question: &ClaimRequest<'_>,
    ) -> Option<ClaimStatus> {
        let mut frames = Encoder::default();
        frames.message(kind::CLAIM, &claim(question)).ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(Raw::Message(kind::CLAIMED, payload)) = stream.down.next().await else {
            return None;
        };
        let claimed: Claimed = wire::read(kind::CLAIMED, &payload).ok()?;
        (claimed.call == question.call).then_some(claimed.verdict)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the halves are split here")]
fn claim(question: &ClaimRequest<'_>) -> Claim {
    Claim {
        call: question.call,
        digest_high: (question.digest.0 >> 64) as u64,
        digest_low: question.digest.0 as u64,
        regions: question.regions.to_vec(),
        intent: question.intent,
        keep: question.keep,
    }
}
