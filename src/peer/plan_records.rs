//! Gossip of plan records between nodes.
//!
//! Each exchange is one stream: this node sends its plan version, with the records if the other
//! node needs them, and receives the same from the other node.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::timeout;

use crate::membership::direct::{GossipTransport, PlanRecords};

use super::links::Links;
use super::wire::{self, Encoder, RawFrame, kind};

/// Timeout of one exchange, including the time to connect.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

impl GossipTransport for Links {
    fn exchange(
        &self,
        address: SocketAddr,
        plan_records: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>> {
        let exchange = timeout(
            EXCHANGE_TIMEOUT,
            self.send_plan_records(address, plan_records),
        );
        exchange.map(|received| received.ok().flatten()).boxed()
    }
}

impl Links {
    /// Sends this node's records and returns those of the peer.
    async fn send_plan_records(
        &self,
        address: SocketAddr,
        own: PlanRecords,
    ) -> Option<PlanRecords> {
        let mut frames = Encoder::default();
        frames
            .push_message(kind::PLAN_RECORDS, &to_message(&own))
            .ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(RawFrame::Message(kind::PLAN_RECORDS, payload)) =
            stream.response_frames.next().await
        else {
            return None;
        };
        from_message(&wire::decode_message(kind::PLAN_RECORDS, &payload).ok()?)
    }
}

/// Converts plan records to their wire message, with the records as JSON.
pub(super) fn to_message(plan_records: &PlanRecords) -> wire::PlanRecords {
    let records = plan_records.records.as_ref();
    let records = records.and_then(|records| serde_json::to_string(records).ok());
    wire::PlanRecords {
        version: plan_records.version,
        records: records.unwrap_or_default(),
    }
}

/// Converts a wire message to plan records. Returns `None` if its JSON cannot be parsed.
pub(super) fn from_message(message: &wire::PlanRecords) -> Option<PlanRecords> {
    let records = if message.records.is_empty() {
        None
    } else {
        Some(serde_json::from_str(&message.records).ok()?)
    };
    Some(PlanRecords {
        version: message.version,
        records,
    })
}
