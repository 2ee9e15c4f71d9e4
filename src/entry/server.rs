//! HTTP server that accepts connections of callers, with HTTP/1 or HTTP/2 on the same port.
//!
//! Each connection runs in a task of its own, and a semaphore limits their number. On shutdown the
//! listener closes, connections finish their running requests, and then [`serve`] returns.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Response, Version, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::call::{Body, Event};
use crate::plan::Limits;

use super::pipeline::{CallerGone, Io, Pipeline};
use super::{Entry, Settings};

/// Delay before the next `accept` after a failed one, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two checks whether calls are ahead of their turn.
const PREFETCH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Largest number of HTTP/2 streams that are reset by the caller before they are accepted.
/// Further resets close the connection.
const MAX_PENDING_RESET_STREAMS: usize = 64;

/// Serves callers until `shutdown`; returns when the last response has ended.
pub async fn serve(listener: TcpListener, entry: Arc<Entry>, shutdown: CancellationToken) {
    let settings = entry.parts.settings;
    let connection_permits = Arc::new(Semaphore::new(settings.max_connections));
    let connections = entry.connections.clone();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            entry.parts.observer.event(Event::Rejected);
            continue;
        };
        let serving = serve_connection(socket, Arc::clone(&entry), shutdown.clone());
        connections.spawn(async move {
            let _permit = permit;
            serving.await;
        });
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(socket: TcpStream, entry: Arc<Entry>, shutdown: CancellationToken) {
    let observer = Arc::clone(&entry.parts.observer);
    observer.event(Event::Connected);
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let limits = entry.parts.snapshot_source.snapshot().plan.limits;
    let builder = connection_builder(entry.parts.settings, limits);
    let pipeline = Pipeline::new(entry, socket);
    let answering = Arc::clone(&pipeline);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let pipeline = Arc::clone(&answering);
        async move { respond(&pipeline, request).await }
    });
    let io = Io(Arc::clone(&pipeline));
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = wait_for_stop(&shutdown, &pipeline) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if served.is_err() {
        pipeline.on_failure();
        observer.event(Event::Rejected);
    }
}

/// Returns on shutdown, once no call of the connection is ahead of its turn: a backend server may
/// be at work on it.
async fn wait_for_stop(shutdown: &CancellationToken, pipeline: &Pipeline) {
    shutdown.cancelled().await;
    while pipeline.has_prefetched() {
        tokio::time::sleep(PREFETCH_CHECK_INTERVAL).await;
    }
}

/// Responds to one request. While the node stops, HTTP/1 responses close their connection, so
/// that the caller connects to another node, unless calls of the connection were started ahead.
async fn respond(
    pipeline: &Pipeline,
    request: http::Request<Incoming>,
) -> Result<Response<Body>, CallerGone> {
    let is_http1 = request.version() <= Version::HTTP_11;
    let mut response = pipeline.respond(request).await?;
    if is_http1 && pipeline.is_stopping() && !pipeline.has_prefetched() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Connection builder with the limits of the settings, or those of the plan if it has any.
fn connection_builder(settings: Settings, limits: Option<Limits>) -> Builder<TokioExecutor> {
    let settings = limits.map_or(settings, |limits| Settings {
        head_timeout: limits.idle_timeout.max(limits.head_timeout),
        max_head_bytes: limits.max_head_bytes.max(MIN_HEAD_BYTES),
        ..settings
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .max_headers(settings.max_headers)
        .keep_alive(true);
    let max_head_bytes = u32::try_from(settings.max_head_bytes).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(settings.max_streams)
        .max_header_list_size(max_head_bytes)
        .initial_stream_window_size(settings.stream_window_bytes)
        .initial_connection_window_size(settings.connection_window_bytes)
        .max_pending_accept_reset_streams(MAX_PENDING_RESET_STREAMS)
        .keep_alive_interval(settings.head_timeout)
        .keep_alive_timeout(settings.head_timeout);
    builder
}
