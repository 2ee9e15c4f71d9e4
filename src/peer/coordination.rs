//! Reports to coordinators and their directives, one stream each.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use h2::server::SendResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::backend::Executor;
use crate::call::Event;
use crate::coordination::{Directives, Report, Transport};

use super::links::Links;
use super::outbound::Outbound;
use super::wire::{self, CoordinationMessage, Encoder, RawFrame, kind};

/// Timeout of one report, including the time to connect.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

impl Transport for Links {
    fn report(&self, address: SocketAddr, report: Report) -> BoxFuture<'_, Option<Directives>> {
        async move {
            let sent = timeout(REPORT_TIMEOUT, self.send_report(address, &report)).await;
            sent.ok().flatten()
        }
        .boxed()
    }
}

impl Links {
    async fn send_report(&self, address: SocketAddr, report: &Report) -> Option<Directives> {
        let mut frames = Encoder::default();
        frames
            .push_message(kind::REPORT, &to_message(report)?)
            .ok()?;
        let mut stream = self.open(address, frames.take(), true).await.ok()?;
        let Ok(RawFrame::Message(kind::DIRECTIVES, payload)) = stream.response_frames.next().await
        else {
            return None;
        };
        from_message(&wire::decode_message(kind::DIRECTIVES, &payload).ok()?)
    }
}

/// Passes a report to the handler of this node and replies with its directives.
pub(super) fn reply(
    executor: &Executor,
    message: &CoordinationMessage,
    respond: SendResponse<Bytes>,
) {
    let Some(report) = from_message(message) else {
        executor.observer.event(Event::LinkRejected);
        return;
    };
    let directives = executor.report_handler.on_report(report);
    let mut frames = Encoder::default();
    let sent = to_message(&directives)
        .and_then(|message| frames.push_message(kind::DIRECTIVES, &message).ok());
    // Without a reply the other node reports to the next coordinator.
    if sent.is_some() {
        let _ = Outbound::for_response(respond).flush(&mut frames, true);
    }
}

fn to_message<T: Serialize>(value: &T) -> Option<CoordinationMessage> {
    let json = serde_json::to_vec(value).ok()?;
    Some(CoordinationMessage { json: json.into() })
}

fn from_message<T: DeserializeOwned>(message: &CoordinationMessage) -> Option<T> {
    serde_json::from_slice(&message.json).ok()
}
