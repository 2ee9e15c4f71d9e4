//! Serves the control service.

use std::sync::Arc;

use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::control::{Control, GateStatus, Status};
use super::driver::Driver;
use super::links;
use super::message::{Heartbeat, News};
use super::roster::Entry;
use super::text::{TextId, Update};

/// Answers the calls of other nodes and tools.
#[derive(Clone)]
pub(super) struct Server {
    pub(super) driver: Arc<Driver>,
    pub(super) gate_status: Arc<dyn Fn() -> GateStatus + Send + Sync>,
}

impl Control for Server {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        self.driver.count_message();
        self.driver
            .apply(|core, now, actions| core.on_heartbeat(now, &heartbeat, actions))
    }

    async fn news(self, _: Context, news: News) {
        self.driver.count_message();
        self.driver
            .apply(|core, now, actions| core.receive_news(now, news, actions));
    }

    async fn pull(self, _: Context, buckets: Vec<u64>) -> Vec<Entry> {
        self.driver.count_message();
        self.driver.apply(|core, _, _| core.receive_pull(&buckets))
    }

    async fn fetch(self, _: Context, have: TextId) -> Update {
        self.driver.count_message();
        self.driver.apply(|core, _, _| core.receive_fetch(have))
    }

    async fn status(self, _: Context) -> Status {
        let condition = (self.gate_status)();
        self.driver.status(condition)
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
        let meter = server.driver.meter();
        let connection = links::answer(stream, server.clone(), meter);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = connection => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}
