//! Load subscriptions: a gate pushes load reports to entries on one long-lived stream each.
//!
//! A load report that comes with a response is as old as the last call. The speed of a backend
//! server changes faster than a single entry calls it, so nearby entries subscribe to the gate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use tokio::time::sleep;

use crate::backend::Executor;
use crate::gate::LoadReport;
use crate::plan::Version;

use super::links::{LinkDown, Links};
use super::outbound::{Outbound, StreamBroken};
use super::wire::{self, Encoder, LoadUpdateMessage, RawFrame, kind};

/// Minimum time between two load reports to one entry; limits the rate when load changes often.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Load report and plan version pushed by a gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadUpdate {
    /// Load of the gate and its backend server.
    pub load: LoadReport,
    /// Version of the plan that the gate uses.
    pub plan: Version,
}

impl Links {
    /// Calls `on_update` for each load report of the gate at `address`; returns when the stream
    /// ends.
    ///
    /// # Errors
    ///
    /// Returns an error if no link to the gate can be opened.
    pub async fn subscribe_load(
        &self,
        address: SocketAddr,
        mut on_update: impl FnMut(LoadUpdate) + Send,
    ) -> Result<(), LinkDown> {
        let mut frames = Encoder::default();
        frames.push_empty(kind::LOAD_SUBSCRIBE);
        let mut stream = self.open(address, frames.take(), true).await?;
        while let Ok(RawFrame::Message(kind::LOAD_UPDATE, payload)) =
            stream.response_frames.next().await
        {
            let Ok(LoadUpdateMessage { load, plan }) =
                wire::decode_message(kind::LOAD_UPDATE, &payload)
            else {
                break;
            };
            on_update(LoadUpdate { load, plan });
        }
        Ok(())
    }
}

/// Sends the load of this node's gate at once and after each change, until the entry closes the
/// stream.
pub(super) async fn send_load_reports(
    executor: &Executor,
    respond: SendResponse<Bytes>,
) -> Result<(), StreamBroken> {
    let mut outbound = Outbound::for_response(respond);
    let mut loads = executor.admission.loads();
    loop {
        loads.borrow_and_update();
        let update = LoadUpdateMessage {
            load: executor.load(),
            plan: executor.plan(),
        };
        let mut frames = Encoder::default();
        frames
            .push_message(kind::LOAD_UPDATE, &update)
            .map_err(|_| StreamBroken)?;
        outbound.flush(&mut frames, false)?;
        sleep(MIN_REPORT_INTERVAL).await;
        tokio::select! {
            changed = loads.changed() => changed.map_err(|_| StreamBroken)?,
            () = outbound.wait_for_reset() => return Err(StreamBroken),
        }
    }
}
