//! The addresses a node listens on.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::Ready;
use super::control::Control;
use crate::{Error, Result, Settings};

/// Bound listeners of one node.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For calls from other nodes.
    pub peer: TcpListener,
    /// For the control service; belongs to the runtime of control.
    pub control: TcpListener,
    /// Bound addresses.
    pub bound: Bound,
}

/// Bound addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// For callers.
    pub caller: SocketAddr,
    /// For calls from other nodes.
    pub peer: SocketAddr,
    /// For the control service.
    pub control: SocketAddr,
}

impl Listeners {
    /// Binds all addresses in the settings.
    pub async fn bind(settings: &Settings, control: &Control) -> Result<Self> {
        let caller = bind(settings.caller_listen).await?;
        let peer = bind(settings.peer_listen).await?;
        let on_control = control.runtime().spawn(bind(settings.control_listen));
        let control = on_control.await.map_err(std::io::Error::other)??;
        let bound = Bound {
            caller: caller.local_addr()?,
            peer: peer.local_addr()?,
            control: control.local_addr()?,
        };
        Ok(Self {
            caller,
            peer,
            control,
            bound,
        })
    }

    /// The line that tells the addresses.
    pub fn ready(&self, instance: &str) -> Ready {
        Ready {
            ready: true,
            instance: instance.to_owned(),
            caller: self.bound.caller,
            peer: self.bound.peer,
            control: self.bound.control,
        }
    }
}

/// Listens at `address`.
pub(super) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen {
            address: address.to_string(),
            source,
        })
}
