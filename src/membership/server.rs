//! Serves the control service.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use super::control::{Condition, Control, ControlClient, Status};
use super::{Handle, Instance};

/// Answers the calls of other nodes and tools.
#[derive(Clone)]
pub(super) struct Server {
    pub(super) instance: Arc<Instance>,
    pub(super) handle: Handle,
    pub(super) report: Arc<dyn Fn() -> Condition + Send + Sync>,
}

impl Control for Server {
    async fn status(self, _: Context) -> Status {
        let situation = self.handle.situation();
        Status {
            instance: self.instance.name.clone(),
            epoch: self.instance.epoch,
            service: self.instance.service.clone(),
            region: self.instance.region.clone(),
            zone: self.instance.zone.clone(),
            plan_version: situation.plan.version,
            instances: u32::try_from(situation.view.len()).unwrap_or(u32::MAX),
            condition: (self.report)(),
        }
    }
}

/// Accepts connections until `shutdown`.
pub(super) async fn serve(listener: TcpListener, server: Server, shutdown: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let connection = answer(stream, server.clone());
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = connection => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}

async fn answer(stream: TcpStream, server: Server) {
    // Without it answers only wait longer.
    let _ = stream.set_nodelay(true);
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|response| async {
            tokio::spawn(response);
        })
        .await;
}

/// Opens a connection to the control service at `address`.
///
/// # Errors
///
/// Fails when the node cannot be reached.
pub async fn connect(address: SocketAddr) -> std::io::Result<ControlClient> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    Ok(ControlClient::new(tarpc::client::Config::default(), transport).spawn())
}
