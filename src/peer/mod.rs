//! Transport of calls between nodes over HTTP/2.
//!
//! [`Links`] is the client side, used by the entry; [`serve`] is the server side, which hands
//! calls to the gate's executor. There is one long-lived connection (link) per peer and one
//! HTTP/2 stream per call, and a stream carries frames of [`wire`]. Flow control is end to end:
//! the next chunk of a body is read from one side only after the other side took the previous one.
//!
//! ```no_run
//! # async fn sketch(executor: std::sync::Arc<monsooncove::backend::Executor>) -> std::io::Result<()> {
//! use std::sync::Arc;
//!
//! use monsooncove::peer::{self, Links};
//! use tokio::net::TcpListener;
//! use tokio_util::sync::CancellationToken;
//!
//! let shutdown = CancellationToken::new();
//! let listener = TcpListener::bind("127.0.0.1:0").await?;
//! let settings = peer::Settings::default();
//!
//! // Serves calls from other nodes until `shutdown`, then finishes the running calls.
//! let server = tokio::spawn(peer::serve(listener, executor, settings, shutdown.clone()));
//!
//! // Links to other nodes, for `entry::Parts`.
//! let links = Links::new(settings, Arc::new(monsooncove::call::NoopObserver));
//! # drop(links);
//!
//! shutdown.cancel();
//! server.await?;
//! # Ok(())
//! # }
//! ```

mod response_body;

mod calls;
mod claim_request;
mod coordination;
mod departures;
mod exchange;
mod inbound;
mod links;
mod load_subscription;
mod outbound;
mod plan_records;
mod receiver;
mod server;
mod settings;
mod stream;
#[cfg(test)]
mod tests;
mod upload;
pub mod wire;

pub use exchange::{AttemptOutcome, AttemptTimeouts};
pub use links::{LinkDown, Links};
pub use load_subscription::LoadUpdate;
pub use response_body::ResponseBody;
pub use server::serve;
pub use settings::Settings;
pub use upload::Upload;
