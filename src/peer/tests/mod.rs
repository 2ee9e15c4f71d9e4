//! Tests of the entry side of a link against gates that break the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::wire::{Encoder, Failed, Refused, RequestHead, ResponseHead, kind};
use super::{AttemptOutcome, AttemptTimeouts, Links, Settings, Upload};
use crate::call::{Event, Loss, Reason};
use crate::entry::tests::test_cluster::{Recorder, run};

const CALL: u64 = 7;

/// Action of a fake gate after it has read a request head.
#[derive(Clone, Debug)]
enum GateAction {
    /// Sends these frames and ends the stream in order.
    End(Bytes),
    /// Sends these frames and breaks the link.
    Break(Bytes),
    /// Resets the stream.
    Reset(h2::Reason),
}

fn frames(encode: impl FnOnce(&mut Encoder)) -> Bytes {
    let mut frames = Encoder::default();
    encode(&mut frames);
    frames.take()
}

fn head(frames: &mut Encoder, call: u64) {
    let head = ResponseHead {
        call,
        status: StatusCode::OK,
        ..ResponseHead::default()
    };
    frames
        .push_message(kind::RESPONSE_HEAD, &head)
        .expect("short");
}

fn refused(frames: &mut Encoder, call: u64) {
    let refused = Refused {
        call,
        reason: Some(Reason::Overloaded),
        ..Refused::default()
    };
    frames.push_message(kind::REFUSED, &refused).expect("short");
}

fn failed(frames: &mut Encoder) {
    let failed = Failed {
        call: CALL,
        loss: Some(Loss::BackendServer),
        ..Failed::default()
    };
    frames.push_message(kind::FAILED, &failed).expect("short");
}

async fn spawn_gate(action: GateAction) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a link");
        let mut link = h2::server::handshake(socket).await.expect("a handshake");
        let (request, mut respond) = link.accept().await.expect("a stream").expect("a request");
        let mut body = request.into_body();
        let respond_to_call = async move {
            body.data().await.expect("a head").expect("bytes");
            let (bytes, complete) = match action {
                GateAction::End(bytes) => (bytes, true),
                GateAction::Break(bytes) => (bytes, false),
                GateAction::Reset(reason) => {
                    respond.send_reset(reason);
                    return std::future::pending().await;
                }
            };
            if complete || !bytes.is_empty() {
                let response = Response::new(());
                let mut stream = respond.send_response(response, false).expect("room");
                stream.send_data(bytes, complete).expect("room");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if complete {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = respond_to_call => {}
            _ = link.accept() => {}
        }
    });
    address
}

/// Starts a gate that drains: it answers the ping, waits for the request, sends a GOAWAY with
/// `last_stream` as the last processed stream, and closes the connection.
async fn spawn_draining_gate(last_stream: u8) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a link");
        let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
        socket.write_all(&settings).await.expect("room");
        let mut received = Vec::new();
        let mut pong = loop {
            socket.read_buf(&mut received).await.expect("bytes");
            let ping = received
                .windows(5)
                .position(|bytes| bytes == [0, 0, 8, 6, 0]);
            if let Some(ping) = ping.and_then(|at| received.get(at..at + 17)) {
                break ping.to_vec();
            }
        };
        pong[4] = 1;
        socket.write_all(&pong).await.expect("room");
        while !received.windows(7).any(|bytes| bytes == b"/orders") {
            let read = socket.read_buf(&mut received).await.expect("bytes");
            assert_ne!(read, 0, "the entry left");
        }
        let mut go_away = vec![0, 0, 8, 7, 0, 0, 0, 0, 0];
        go_away.extend_from_slice(&[0, 0, 0, last_stream, 0, 0, 0, 0]);
        socket.write_all(&go_away).await.expect("room");
    });
    address
}

/// Outcome of a call as the entry sees it, and the events it recorded.
struct Observed {
    result: String,
    body: Option<Result<usize, super::super::call::BodyError>>,
    recorder: Arc<Recorder>,
}

async fn send_call(action: GateAction) -> Observed {
    send_call_to(spawn_gate(action).await).await
}

async fn send_call_to(address: SocketAddr) -> Observed {
    let recorder = Arc::new(Recorder::default());
    let links = Links::new(Settings::default(), recorder.clone());
    Observed {
        recorder,
        ..send_call_over(&links, address).await
    }
}

async fn send_call_over(links: &Links, address: SocketAddr) -> Observed {
    let recorder = Arc::new(Recorder::default());
    let request_head = RequestHead {
        call: CALL,
        method: Method::POST,
        path: "/orders".into(),
        bodiless: true,
        ..RequestHead::default()
    };
    let empty = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let upload = Upload::new(empty, false);
    let timeouts = AttemptTimeouts {
        recall_after: None,
        time_left: Duration::from_millis(500),
    };
    match links
        .send_call(address, &request_head, upload, timeouts)
        .await
    {
        AttemptOutcome::Answered { body, .. } => Observed {
            result: "answered".into(),
            body: Some(body.collect().await.map(|body| body.to_bytes().len())),
            recorder,
        },
        AttemptOutcome::NotRun { not_run, .. } => Observed {
            result: format!("not-run {}", not_run.reason()),
            body: None,
            recorder,
        },
        AttemptOutcome::Unknown { unknown, .. } => Observed {
            result: format!("unknown {}", unknown.loss()),
            body: None,
            recorder,
        },
    }
}

async fn assert_outcome(action: GateAction, expected: &str) {
    assert_eq!(send_call(action).await.result, expected);
}

async fn assert_outcome_after_goaway(last_stream: u8, expected: &str) {
    let observed = send_call_to(spawn_draining_gate(last_stream).await).await;
    assert_eq!(observed.result, expected);
}

async fn assert_response(
    action: GateAction,
    expected: Result<usize, crate::call::BodyError>,
    dropped: usize,
) {
    let observed = send_call(action).await;
    assert_eq!(observed.result, "answered");
    assert_eq!(observed.body, Some(expected));
    assert_eq!(observed.recorder.count(Event::FrameDropped), dropped);
}

async fn assert_dropped_frames(action: GateAction, expected: &str, dropped: usize) {
    let observed = send_call(action).await;
    assert_eq!(observed.result, expected);
    assert_eq!(observed.recorder.count(Event::FrameDropped), dropped);
}

fn complete_response(frames: &mut Encoder) {
    head(frames, CALL);
    frames.push_body(b"ok");
    frames.push_empty(kind::END);
}

/// The kernel accepts connections for a listener that nobody serves any more, for example while a
/// peer terminates. Such a call must count as not run.
async fn listener_without_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let closing = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(listener);
    });
    assert_eq!(send_call_to(address).await.result, "not-run unreachable");
    closing.await.expect("no panic");
}

/// Calls to a node that accepts connections and never serves them.
async fn calls_to_a_node_that_does_not_answer(connect_timeout: Duration) -> (Vec<String>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepting = tokio::spawn(async move {
        let mut sockets = Vec::new();
        while let Ok(Ok((socket, _))) = timeout(Duration::from_secs(1), listener.accept()).await {
            sockets.push(socket);
        }
        sockets.len()
    });
    let settings = Settings {
        connect_timeout,
        ..Settings::default()
    };
    let links = Links::new(settings, Arc::new(Recorder::default()));
    let calls = (0..16).map(|_| send_call_over(&links, address));
    let observed = futures::future::join_all(calls).await;
    let results = observed.into_iter().map(|observed| observed.result);
    (results.collect(), accepting.await.expect("no panic"))
}

async fn calls_share_a_failed_attempt() {
    let connect_timeout = Duration::from_millis(100);
    let (results, attempts) = calls_to_a_node_that_does_not_answer(connect_timeout).await;
    assert_eq!(results, vec!["not-run unreachable"; 16]);
    assert_eq!(attempts, 1);
}

async fn attempt_ends_with_the_deadline() {
    let connect_timeout = Duration::from_mins(1);
    let (results, _) = calls_to_a_node_that_does_not_answer(connect_timeout).await;
    assert_eq!(results, vec!["not-run deadline"; 16]);
}

cases! {
    calls_that_wait_for_a_link_share_its_failure: run(calls_share_a_failed_attempt());
    call_waits_for_a_link_no_longer_than_its_deadline: run(attempt_ends_with_the_deadline());
    unserved_listener_is_not_run: run(listener_without_server());
    link_broken_before_any_frame_is_unknown:
        run(assert_outcome(GateAction::Break(Bytes::new()), "unknown link-lost"));
    link_broken_after_admission_is_unknown:
        run(assert_outcome(GateAction::Break(frames(|encoder| encoder.push_empty(kind::ADMITTED))), "unknown link-lost"));
    stream_ended_without_frames_is_unknown:
        run(assert_outcome(GateAction::End(Bytes::new()), "unknown link-lost"));
    refused_stream_is_not_run:
        run(assert_outcome(GateAction::Reset(h2::Reason::REFUSED_STREAM), "not-run draining"));
    cancelled_stream_is_unknown:
        run(assert_outcome(GateAction::Reset(h2::Reason::CANCEL), "unknown link-lost"));
    stream_above_goaway_last_id_is_not_run:
        run(assert_outcome_after_goaway(0, "not-run draining"));
    stream_within_goaway_last_id_is_unknown:
        run(assert_outcome_after_goaway(1, "unknown link-lost"));
    failed_message_is_unknown:
        run(assert_outcome(GateAction::End(frames(failed)), "unknown backend-lost"));
    malformed_response_head_is_unknown: run(assert_outcome(
        GateAction::End(Bytes::from_static(b"\0\0\0\x02\x01\x09\xff\xff")), "unknown link-lost"));
    oversized_frame_is_unknown: run(assert_outcome(
        GateAction::End(Bytes::from_static(b"\xff\xff\xff\xff\x01\x09")), "unknown link-lost"));
    complete_response_is_delivered: run(assert_response(GateAction::End(frames(complete_response)), Ok(2), 0));
    response_without_end_frame_is_cut: run(assert_response(
        GateAction::End(frames(|encoder| { head(encoder, CALL); encoder.push_body(b"ok"); })),
        Err(crate::call::BodyError::Link), 0));
    response_on_broken_link_is_cut: run(assert_response(
        GateAction::Break(frames(|encoder| { head(encoder, CALL); encoder.push_body(b"ok"); })),
        Err(crate::call::BodyError::Link), 0));
    partial_body_frame_is_cut: run(assert_response(
        GateAction::End(frames(|encoder| { head(encoder, CALL); encoder.push_body_header(9); })),
        Err(crate::call::BodyError::Link), 0));
    duplicate_response_head_is_dropped: run(assert_response(
        GateAction::End(frames(|encoder| { head(encoder, CALL); complete_response(encoder); })), Ok(2), 1));
    refusal_after_response_head_is_dropped: run(assert_response(
        GateAction::End(frames(|encoder| {
            head(encoder, CALL);
            refused(encoder, CALL);
            encoder.push_empty(kind::END);
        })), Ok(0), 1));
    frame_of_unknown_kind_is_dropped: run(assert_response(
        GateAction::End(frames(|encoder| { encoder.push_empty(77); complete_response(encoder); })), Ok(2), 1));
    body_before_response_head_is_dropped: run(assert_response(
        GateAction::End(frames(|encoder| { encoder.push_body(b"early"); complete_response(encoder); })), Ok(2), 1));
    response_to_another_call_is_dropped: run(assert_response(
        GateAction::End(frames(|encoder| { head(encoder, CALL + 1); complete_response(encoder); })), Ok(2), 1));
    refusal_of_another_call_is_dropped: run(assert_dropped_frames(
        GateAction::End(frames(|encoder| refused(encoder, CALL + 1))), "unknown link-lost", 1));
    refusal_is_not_run:
        run(assert_outcome(GateAction::End(frames(|encoder| refused(encoder, CALL))), "not-run overloaded"));
}
