//! Stand-in for the platform's key-value service: compare-and-swap, leases and
//! watches over HTTP, with call counters, rate limits and faults.
//!
//! It keeps everything in memory and models no network, host or clock.

mod counters;
mod faults;
mod limit;
mod local;
mod service;
mod state;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use counters::Counters;
pub use faults::Faults;
pub use local::Local;

/// What the stand-in serves at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Reads and watches a second.
    pub reads_per_second: f64,
    /// Writes and lease calls a second.
    pub writes_per_second: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reads_per_second: 2_000.0,
            writes_per_second: 400.0,
        }
    }
}

/// Serves until `shutdown`.
pub async fn serve(listener: TcpListener, settings: Settings, shutdown: CancellationToken) {
    let store = Arc::new(service::Store::new(settings));
    let _lapses = tokio_util::task::AbortOnDropHandle::new(tokio::spawn(service::lapse_leases(
        Arc::clone(&store),
    )));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        // Without it answers only wait longer.
        let _ = stream.set_nodelay(true);
        let store = Arc::clone(&store);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(
                    TokioIo::new(stream),
                    service_fn(move |request| service::answer(Arc::clone(&store), request)),
                );
            tokio::select! {
                // A connection that breaks, breaks for its client.
                _ = connection => {}
                () = shutdown.cancelled() => {}
            }
        });
    }
}
