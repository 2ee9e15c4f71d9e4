//! Gossip between nodes: plan records, changes of the roster, and the progress of relays.
//!
//! Each exchange is one stream: this node sends its plan version, with the records if the other
//! node needs them, and receives the same from the other node. A subscription to a relay is one
//! long-lived stream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use h2::server::SendResponse;
use tokio::time::{sleep, timeout};

use crate::backend::Executor;
use crate::membership::direct::{
    self, Departures, GossipTransport, OnProgress, PackedRecords, PlanRecords, Progress,
    RosterChanges,
};

use super::links::Links;
use super::outbound::{Outbound, StreamBroken};
use super::wire::{self, Encoder, ProgressMessage, RawFrame, kind};

/// Timeout of one exchange, including the time to connect.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time between two messages to a subscriber.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a relay is given up.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2_500);

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

    fn exchange_departures(
        &self,
        address: SocketAddr,
        own: Departures,
    ) -> BoxFuture<'_, Option<Departures>> {
        async move { self.send_departures(address, &own).await }.boxed()
    }

    fn subscribe(&self, address: SocketAddr, on_progress: OnProgress) -> BoxFuture<'_, ()> {
        self.receive_progress(address, on_progress).boxed()
    }
}

impl Links {
    /// Passes on the progress of a relay until the stream ends or the relay is silent.
    async fn receive_progress(&self, address: SocketAddr, mut on_progress: OnProgress) {
        let mut frames = Encoder::default();
        frames.push_empty(kind::PROGRESS_SUBSCRIBE);
        let opened = self.open(address, frames.take(), true).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(down) => return log::debug!("no news: {down}"),
        };
        while let Ok(Ok(RawFrame::Message(kind::PROGRESS, payload))) =
            timeout(PROGRESS_TIMEOUT, stream.response_frames.next()).await
        {
            let Ok(message) = wire::decode_message::<ProgressMessage>(kind::PROGRESS, &payload)
            else {
                return log::warn!(
                    "news of the node at {address} cannot be read; run the same version there"
                );
            };
            on_progress(Progress {
                plan: message.plan,
                roster_revision: message.roster_revision,
                distance: message.distance,
            });
        }
    }

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

/// Sends this node's progress at once, after each change and at regular intervals, until the
/// subscriber closes the stream.
pub(super) async fn send_progress(
    executor: &Executor,
    respond: SendResponse<Bytes>,
) -> Result<(), StreamBroken> {
    let mut outbound = Outbound::for_response(respond);
    let Some(mut progress) = executor.snapshot_source.progress() else {
        return outbound.flush(&mut Encoder::default(), true);
    };
    loop {
        let Progress {
            plan,
            roster_revision,
            distance,
        } = *progress.borrow_and_update();
        let message = ProgressMessage {
            plan,
            roster_revision,
            distance,
        };
        let mut frames = Encoder::default();
        frames
            .push_message(kind::PROGRESS, &message)
            .map_err(|_| StreamBroken)?;
        outbound.flush(&mut frames, false)?;
        tokio::select! {
            changed = progress.changed() => changed.map_err(|_| StreamBroken)?,
            () = sleep(PROGRESS_INTERVAL) => {}
            () = outbound.wait_for_reset() => return Err(StreamBroken),
        }
    }
}

/// Converts news to their wire message.
pub(super) fn to_message(news: &PlanRecords) -> wire::PlanRecords {
    let records = news.records.as_ref().map(PackedRecords::bytes);
    let roster = news.roster.as_ref().and_then(direct::pack);
    wire::PlanRecords {
        version: news.version,
        records: String::new(),
        packed_records: records.map(Bytes::copy_from_slice).unwrap_or_default(),
        roster_revision: news.roster_revision,
        packed_roster: roster.map(Bytes::from).unwrap_or_default(),
    }
}

/// Converts a wire message to news. Returns `None` if the roster cannot be read; the records are
/// checked when they are taken.
pub(super) fn from_message(message: &wire::PlanRecords) -> Option<PlanRecords> {
    let roster = if message.packed_roster.is_empty() {
        None
    } else {
        Some(direct::unpack::<RosterChanges>(&message.packed_roster)?)
    };
    Some(PlanRecords {
        version: message.version,
        records: records_of(message),
        roster_revision: message.roster_revision,
        roster,
    })
}

fn records_of(message: &wire::PlanRecords) -> Option<PackedRecords> {
    if message.packed_records.is_empty() {
        let json = message.records.as_bytes();
        return (!json.is_empty()).then(|| PackedRecords::from_json(json))?;
    }
    Some(PackedRecords::from_bytes(&message.packed_records))
}
