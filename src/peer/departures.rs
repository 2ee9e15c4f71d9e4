//! Exchange of acknowledged departures with a witness.
//!
//! One stream: a node tells what it acknowledged, which may be nothing, and receives all that the
//! witness remembers of it.

use std::net::SocketAddr;

use bytes::Bytes;
use h2::server::SendResponse;

use crate::backend::Executor;
use crate::call::Event;
use crate::membership::direct::{self, DepartedProcess, Departures};

use super::links::Links;
use super::outbound::Outbound;
use super::wire::{self, DeparturesMessage, Encoder, RawFrame, kind};

impl Links {
    /// Sends this node's departures and returns those that the witness remembers.
    pub(super) async fn send_departures(
        &self,
        address: SocketAddr,
        own: &Departures,
    ) -> Option<Departures> {
        let mut frames = Encoder::default();
        frames
            .push_message(kind::DEPARTURES, &to_message(own)?)
            .ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(RawFrame::Message(kind::DEPARTURES, payload)) = stream.response_frames.next().await
        else {
            return None;
        };
        from_message(wire::decode_message(kind::DEPARTURES, &payload).ok()?)
    }
}

/// Remembers received departures and replies with all that are known.
pub(super) fn reply(executor: &Executor, message: DeparturesMessage, respond: SendResponse<Bytes>) {
    let Some(theirs) = from_message(message) else {
        executor.observer.event(Event::LinkRejected);
        return;
    };
    let known = executor.snapshot_source.exchange_departures(&theirs);
    let mut frames = Encoder::default();
    let sent =
        to_message(&known).and_then(|known| frames.push_message(kind::DEPARTURES, &known).ok());
    // Without a reply the other node relies on its other witnesses.
    if sent.is_some() {
        let _ = Outbound::for_response(respond).flush(&mut frames, true);
    }
}

fn to_message(departures: &Departures) -> Option<DeparturesMessage> {
    let packed = if departures.processes.is_empty() {
        Vec::new()
    } else {
        direct::pack(&departures.processes)?
    };
    Some(DeparturesMessage {
        instance: departures.instance.clone(),
        packed_processes: Bytes::from(packed),
        uptime: departures.uptime,
    })
}

/// Returns `None` if the processes cannot be read.
fn from_message(message: DeparturesMessage) -> Option<Departures> {
    let processes = if message.packed_processes.is_empty() {
        Vec::new()
    } else {
        direct::unpack::<Vec<DepartedProcess>>(&message.packed_processes)?
    };
    Some(Departures {
        instance: message.instance,
        processes,
        uptime: message.uptime,
    })
}
