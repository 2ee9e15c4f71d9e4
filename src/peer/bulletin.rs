//! Exchanges what nodes know of the operators' records.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::time::timeout;

use crate::membership::direct::{GossipTransport, PlanRecords};

use super::links::Links;
use super::wire::{self, Encoder, Raw, kind};

/// Longest time for one exchange.
const TIMEOUT: Duration = Duration::from_secs(1);

impl GossipTransport for Links {
    fn exchange(
        &self,
        address: SocketAddr,
        bulletin: PlanRecords,
    ) -> BoxFuture<'_, Option<PlanRecords>> {
        let exchanging = timeout(TIMEOUT, self.exchange_bulletin(address, bulletin));
        exchanging.map(|told| told.ok().flatten()).boxed()
    }
}

impl Links {
    async fn exchange_bulletin(
        &self,
        address: SocketAddr,
        own: PlanRecords,
    ) -> Option<PlanRecords> {
        let mut frames = Encoder::default();
        frames.message(kind::BULLETIN, &write(&own)).ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(Raw::Message(kind::BULLETIN, payload)) = stream.down.next().await else {
            return None;
        };
        read(&wire::read(kind::BULLETIN, &payload).ok()?)
    }
}

/// The message of a bulletin.
pub(super) fn write(bulletin: &PlanRecords) -> wire::Bulletin {
    let records = bulletin.records.as_ref();
    let records = records.and_then(|records| serde_json::to_string(records).ok());
    wire::Bulletin {
        version: bulletin.version,
        records: records.unwrap_or_default(),
    }
}

/// The bulletin of a message, unless its records cannot be read.
pub(super) fn read(message: &wire::Bulletin) -> Option<PlanRecords> {
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
