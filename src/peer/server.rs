//! Server side of links: accepts connections from other nodes and spawns a task per stream.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::Connection;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{interval, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::backend::Executor;
use crate::call::Event;

use super::calls::ActiveCalls;
use super::{Settings, stream};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which the membership view is recorded; claims are decided by its history.
const VIEW_RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of streams per link that are reset by the peer before they are accepted here.
const MAX_PENDING_RESET_STREAMS: usize = 1024;

/// Serves calls from other nodes. On `shutdown`, peers get a GOAWAY, which keeps them from sending
/// new calls; returns when the last call has ended.
pub async fn serve(
    listener: TcpListener,
    executor: Arc<Executor>,
    settings: Settings,
    shutdown: CancellationToken,
) {
    let link_permits = Arc::new(Semaphore::new(settings.max_links));
    let links = TaskTracker::new();
    let mut view_ticks = interval(VIEW_RECORD_INTERVAL);
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            _ = view_ticks.tick() => {
                let view = &executor.snapshot_source.snapshot().view;
                executor.claims.on_view(executor.clock.now(), view);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(link_permit) = Arc::clone(&link_permits).try_acquire_owned() else {
            executor.observer.event(Event::LinkRejected);
            continue;
        };
        let link = serve_link(socket, Arc::clone(&executor), settings, shutdown.clone());
        links.spawn(async move {
            let _link_permit = link_permit;
            link.await;
        });
    }
    links.close();
    links.wait().await;
}

/// Serves the streams of one connection until it closes or, after `shutdown`, its calls have ended.
async fn serve_link(
    socket: TcpStream,
    executor: Arc<Executor>,
    settings: Settings,
    shutdown: CancellationToken,
) {
    let Ok(mut link) = handshake(socket, settings).await else {
        executor.observer.event(Event::LinkRejected);
        return;
    };
    let active_calls = Arc::new(ActiveCalls::default());
    let calls = TaskTracker::new();
    let mut closing = false;
    loop {
        let accepted = tokio::select! {
            accepted = link.accept() => accepted,
            () = shutdown.cancelled(), if !closing => {
                closing = true;
                calls.close();
                link.graceful_shutdown();
                continue;
            }
            () = wait_before_close(&calls, settings), if closing => break,
        };
        match accepted {
            Some(Ok((request, respond))) => {
                let executor = Arc::clone(&executor);
                let active_calls = Arc::clone(&active_calls);
                calls.spawn(stream::serve(
                    executor,
                    active_calls,
                    settings,
                    shutdown.clone(),
                    request,
                    respond,
                ));
            }
            Some(Err(error)) if error.is_io() => break,
            Some(Err(_)) => {
                executor.observer.event(Event::LinkRejected);
                break;
            }
            None => break,
        }
    }
    drop(link);
    calls.close();
    calls.wait().await;
}

/// Waits for the running calls, then for `ping_timeout`, in which the other node can close the
/// link. A node that hangs never closes it and must not delay the shutdown.
async fn wait_before_close(calls: &TaskTracker, settings: Settings) {
    calls.wait().await;
    sleep(settings.ping_timeout).await;
}

/// Performs the HTTP/2 handshake within `open_timeout`.
async fn handshake(
    socket: TcpStream,
    settings: Settings,
) -> io::Result<Connection<TcpStream, Bytes>> {
    socket.set_nodelay(true)?;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(settings.stream_window_bytes)
        .initial_connection_window_size(settings.link_window_bytes)
        .max_frame_size(settings.max_frame_bytes)
        .max_concurrent_streams(settings.max_streams)
        .max_pending_accept_reset_streams(MAX_PENDING_RESET_STREAMS);
    let connected = timeout(settings.open_timeout, builder.handshake(socket)).await;
    match connected {
        Ok(Ok(link)) => Ok(link),
        Ok(Err(error)) => Err(io::Error::other(error)),
        Err(elapsed) => Err(elapsed.into()),
    }
}
