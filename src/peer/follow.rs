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
use super::outbound::{Broken, Outbound};
use super::wire::{self, Encoder, Loaded, Raw, kind};

/// Shortest time between two reports to one entry.
const SPACING: Duration = Duration::from_millis(20);

/// What a gate tells of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
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
    pub async fn follow(
        &self,
        address: SocketAddr,
        mut take: impl FnMut(Told) + Send,
    ) -> Result<(), LinkDown> {
        let mut frames = Encoder::default();
        frames.bare(kind::FOLLOW);
        let mut stream = self.open(address, frames.take(), true).await?;
        while let Ok(Raw::Message(kind::LOADED, payload)) = stream.down.next().await {
            let Ok(Loaded { load, plan }) = wire::read(kind::LOADED, &payload) else {
                break;
            };
            take(Told { load, plan });
        }
        Ok(())
    }
}

/// Tells the loads of this node's gate until the entry goes away.
pub(super) async fn tell(executor: &Executor, respond: SendResponse<Bytes>) -> Result<(), Broken> {
    let mut outbound = Outbound::responding(respond);
    let mut loads = executor.admission.loads();
    loop {
        loads.borrow_and_update();
        let loaded = Loaded {
            load: executor.load(),
            plan: executor.plan(),
        };
        let mut frames = Encoder::default();
        frames.message(kind::LOADED, &loaded).map_err(|_| Broken)?;
        outbound.flush(&mut frames, false)?;
        sleep(SPACING).await;
        tokio::select! {
            changed = loads.changed() => changed.map_err(|_| Broken)?,
            () = outbound.reset() => return Err(Broken),
        }
    }
}
