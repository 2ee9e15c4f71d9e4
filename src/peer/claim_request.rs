//! Claim requests: asks another node for the status of an idempotency key, or claims it there.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::call::claim::{ClaimRequest, ClaimStatus};

use super::links::Links;
use super::wire::{self, ClaimRequestMessage, ClaimResponseMessage, Encoder, RawFrame, kind};

impl Links {
    /// Returns the status of the key at the node at `address`, or the default (unknown) when the
    /// link fails or no reply arrives within `time_left`.
    pub async fn send_claim_request(
        &self,
        address: SocketAddr,
        question: &ClaimRequest<'_>,
        time_left: Duration,
    ) -> ClaimStatus {
        let reply = timeout(time_left, self.exchange_claim(address, question)).await;
        reply.ok().flatten().unwrap_or_default()
    }

    /// Sends the claim request on a stream of its own. Returns `None` when the link fails or the
    /// reply is malformed or belongs to another call.
    async fn exchange_claim(
        &self,
        address: SocketAddr,
        question: &ClaimRequest<'_>,
    ) -> Option<ClaimStatus> {
        let mut frames = Encoder::default();
        frames
            .push_message(kind::CLAIM_REQUEST, &claim_message(question))
            .ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(RawFrame::Message(kind::CLAIM_RESPONSE, payload)) =
            stream.response_frames.next().await
        else {
            return None;
        };
        let claimed: ClaimResponseMessage =
            wire::decode_message(kind::CLAIM_RESPONSE, &payload).ok()?;
        (claimed.call == question.call).then_some(claimed.verdict)
    }
}

/// Wire message of a claim request; the 128-bit digest travels as two 64-bit halves.
#[expect(clippy::cast_possible_truncation, reason = "the halves are split here")]
fn claim_message(question: &ClaimRequest<'_>) -> ClaimRequestMessage {
    ClaimRequestMessage {
        call: question.call,
        digest_high: (question.digest.0 >> 64) as u64,
        digest_low: question.digest.0 as u64,
        regions: question.regions.to_vec(),
        intent: question.intent,
        keep: question.keep,
    }
}
