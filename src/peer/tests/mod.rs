//! The entry's side of a link against gates that break the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::wire::{Encoder, Failed, Head, Open, Refused, kind};
use super::{Links, Reply, Settings, Terms, Upload};
use crate::call::{Event, Loss, Reason};
use crate::entry::tests::test_cluster::{Recorder, run};

const CALL: u64 = 7;

/// What a false gate does after it has read the head of a request.
#[derive(Clone, Debug)]
enum Act {
    /// Sends these frames and ends the stream in order.
    End(Bytes),
    /// Sends these frames and breaks the link.
    Break(Bytes),
    /// Resets the stream.
    Reset(h2::Reason),
}

fn frames(fill: impl FnOnce(&mut Encoder)) -> Bytes {
    let mut frames = Encoder::default();
    fill(&mut frames);
    frames.take()
}

fn head(frames: &mut Encoder, call: u64) {
    let head = Head {
        call,
        status: StatusCode::OK,
        ..Head::default()
    };
    frames.message(kind::HEAD, &head).expect("short");
}

fn refused(frames: &mut Encoder, call: u64) {
    let refused = Refused {
        call,
        reason: Some(Reason::Overloaded),
        ..Refused::default()
    };
    frames.message(kind::REFUSED, &refused).expect("short");
}

fn failed(frames: &mut Encoder) {
    let failed = Failed {
        call: CALL,
        loss: Some(Loss::BackendServer),
        ..Failed::default()
    };
    frames.message(kind::FAILED, &failed).expect("short");
}

async fn gate(act: Act) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a link");
        let mut link = h2::server::handshake(socket).await.expect("a handshake");
        let (request, mut respond) = link.accept().await.expect("a stream").expect("a request");
        let mut body = request.into_body();
        let acting = async move {
            body.data().await.expect("a head").expect("bytes");
            let (bytes, whole) = match act {
                Act::End(bytes) => (bytes, true),
                Act::Break(bytes) => (bytes, false),
                Act::Reset(reason) => {
                    respond.send_reset(reason);
                    return std::future::pending().await;
                }
            };
            if whole || !bytes.is_empty() {
                let response = Response::new(());
                let mut stream = respond.send_response(response, false).expect("room");
                stream.send_data(bytes, whole).expect("room");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if whole {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = acting => {}
            _ = link.accept() => {}
        }
    });
    address
}

/// A gate that leaves: its GOAWAY names `last_stream` as the last one that it
/// looked at, and the link closes.
async fn leaving_gate(last_stream: u8) -> SocketAddr {
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

struct Seen {
    result: String,
    body: Option<Result<usize, super::super::call::Cut>>,
    recorder: Arc<Recorder>,
}

async fn exchange(act: Act) -> Seen {
    exchange_with(gate(act).await).await
}

async fn exchange_with(address: SocketAddr) -> Seen {
    let recorder = Arc::new(Recorder::default());
    let links = Links::new(Settings::default(), recorder.clone());
    let open = Open {
        call: CALL,
        method: Method::POST,
        path: "/orders".into(),
        bodiless: true,
        ..Open::default()
    };
    let empty = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let upload = Upload::new(empty, false);
    let terms = Terms {
        recall_after: None,
        time_left: Duration::from_millis(500),
    };
    match links.exchange(address, &open, upload, terms).await {
        Reply::Answered { body, .. } => Seen {
            result: "answered".into(),
            body: Some(body.collect().await.map(|body| body.to_bytes().len())),
            recorder,
        },
        Reply::NotRun { refused, .. } => Seen {
            result: format!("not-run {}", refused.reason()),
            body: None,
            recorder,
        },
        Reply::Unknown { unknown, .. } => Seen {
            result: format!("unknown {}", unknown.loss()),
            body: None,
            recorder,
        },
    }
}

async fn ends_as(act: Act, expected: &str) {
    assert_eq!(exchange(act).await.result, expected);
}

async fn gate_leaves(last_stream: u8, expected: &str) {
    let seen = exchange_with(leaving_gate(last_stream).await).await;
    assert_eq!(seen.result, expected);
}

async fn answers(act: Act, expected: Result<usize, crate::call::Cut>, dropped: usize) {
    let seen = exchange(act).await;
    assert_eq!(seen.result, "answered");
    assert_eq!(seen.body, Some(expected));
    assert_eq!(seen.recorder.count(Event::FrameDropped), dropped);
}

async fn drops(act: Act, expected: &str, dropped: usize) {
    let seen = exchange(act).await;
    assert_eq!(seen.result, expected);
    assert_eq!(seen.recorder.count(Event::FrameDropped), dropped);
}

fn whole_answer(frames: &mut Encoder) {
    head(frames, CALL);
    frames.body(b"ok");
    frames.bare(kind::END);
}

/// The system accepts for a listener that nobody serves any more.
async fn listener_without_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let closing = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(listener);
    });
    assert_eq!(exchange_with(address).await.result, "not-run unreachable");
    closing.await.expect("no panic");
}

cases! {
    link_that_nobody_serves_is_not_run: run(listener_without_server());
    link_that_breaks_before_any_word_is_unknown:
        run(ends_as(Act::Break(Bytes::new()), "unknown link-lost"));
    link_that_breaks_after_admission_is_unknown:
        run(ends_as(Act::Break(frames(|out| out.bare(kind::ADMITTED))), "unknown link-lost"));
    stream_that_ends_without_a_word_is_unknown:
        run(ends_as(Act::End(Bytes::new()), "unknown link-lost"));
    stream_that_was_never_looked_at_is_not_run:
        run(ends_as(Act::Reset(h2::Reason::REFUSED_STREAM), "not-run draining"));
    stream_that_was_cancelled_is_unknown:
        run(ends_as(Act::Reset(h2::Reason::CANCEL), "unknown link-lost"));
    stream_above_the_last_of_a_leaving_gate_is_not_run:
        run(gate_leaves(0, "not-run draining"));
    stream_that_a_leaving_gate_has_seen_is_unknown:
        run(gate_leaves(1, "unknown link-lost"));
    word_of_failure_is_unknown:
        run(ends_as(Act::End(frames(failed)), "unknown backend-lost"));
    malformed_head_is_unknown: run(ends_as(
        Act::End(Bytes::from_static(b"\0\0\0\x02\x01\x09\xff\xff")), "unknown link-lost"));
    endless_frame_is_unknown: run(ends_as(
        Act::End(Bytes::from_static(b"\xff\xff\xff\xff\x01\x09")), "unknown link-lost"));
    whole_answer_is_whole: run(answers(Act::End(frames(whole_answer)), Ok(2), 0));
    answer_without_its_end_is_cut: run(answers(
        Act::End(frames(|out| { head(out, CALL); out.body(b"ok"); })),
        Err(crate::call::Cut::Link), 0));
    answer_on_a_broken_link_is_cut: run(answers(
        Act::Break(frames(|out| { head(out, CALL); out.body(b"ok"); })),
        Err(crate::call::Cut::Link), 0));
    part_of_a_body_frame_is_cut: run(answers(
        Act::End(frames(|out| { head(out, CALL); out.body_header(9); })),
        Err(crate::call::Cut::Link), 0));
    doubled_head_is_dropped: run(answers(
        Act::End(frames(|out| { head(out, CALL); whole_answer(out); })), Ok(2), 1));
    late_refusal_is_dropped: run(answers(
        Act::End(frames(|out| {
            head(out, CALL);
            refused(out, CALL);
            out.bare(kind::END);
        })), Ok(0), 1));
    frame_of_a_later_version_is_dropped: run(answers(
        Act::End(frames(|out| { out.bare(77); whole_answer(out); })), Ok(2), 1));
    body_before_its_head_is_dropped: run(answers(
        Act::End(frames(|out| { out.body(b"early"); whole_answer(out); })), Ok(2), 1));
    answer_to_another_call_is_dropped: run(answers(
        Act::End(frames(|out| { head(out, CALL + 1); whole_answer(out); })), Ok(2), 1));
    refusal_of_another_call_is_dropped: run(drops(
        Act::End(frames(|out| refused(out, CALL + 1))), "unknown link-lost", 1));
    refusal_is_not_run:
        run(ends_as(Act::End(frames(|out| refused(out, CALL))), "not-run overloaded"));
}
