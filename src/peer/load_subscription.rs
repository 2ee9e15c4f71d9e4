//! Loads of a gate, told whenever they change.
//!
//! A report that comes with an answer is as old as the last call. The speed of a
//! backend server changes faster than one entry calls it, so entries nearby are
//! told by the gate itself.

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

/// Shortest time between two reports to one entry.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// What a gate tells of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadUpdate {
    /// Load report of the backend server.
    pub load: LoadReport,
    /// Plan of the gate.
    pub plan: Version,
}

impl Links {
    /// Follows the loads of the gate at `address` until the stream ends.
    ///
    /// # Errors
    ///
    /// Fails when no link can be opened.
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

/// Tells the loads of this node's gate until the entry goes away.
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
