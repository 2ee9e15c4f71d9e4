//! Exchanges what nodes know of the operators' records.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::timeout;

use crate::membership::direct::{GossipTransport, PlanRecords};

use super::links::Links;
use super::wire::{self, Encoder, RawFrame, kind};

/// Longest time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

impl GossipTransport for Links {
    fn exchange(
        &self,
        address: SocketAddr,
        bulletin: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>> {
        let exchange = timeout(EXCHANGE_TIMEOUT, self.send_plan_records(address, bulletin));
        exchange.map(|received| received.ok().flatten()).boxed()
    }
}

impl Links {
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

/// The message of a bulletin.
pub(super) fn to_message(bulletin: &PlanRecords) -> wire::PlanRecords {
    let records = bulletin.records.as_ref();
    let records = records.and_then(|records| serde_json::to_string(records).ok());
    wire::PlanRecords {
        version: bulletin.version,
        records: records.unwrap_or_default(),
    }
}

/// The bulletin of a message, unless its records cannot be read.
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
