use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Method, Request};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::test_cluster::{
    BackendServer, Cluster, DESK, NodeSpec, OK, Step, collect_response, run, send_request,
};
use crate::peer::wire::RequestHead;
use crate::peer::{self, AttemptOutcome, AttemptTimeouts, Links, Upload};
use crate::plan::Version;

/// Longest time that a node without calls takes to stop.
const STOP_LIMIT: Duration = Duration::from_secs(8);

const SLOW: Step = Step::SendAfter(
    Duration::from_millis(200),
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);

async fn wait_for_request(server: &BackendServer) {
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn running_call_is_finished() {
    let server = BackendServer::start(&[SLOW]).await;
    let cluster = Cluster::start(&[&server]).await;
    let shutdowns = [&cluster.front, &cluster.gate_nodes[0]].map(|node| node.shutdown.clone());
    let stop = async {
        wait_for_request(&server).await;
        for shutdown in &shutdowns {
            shutdown.cancel();
        }
    };
    let (response, ()) = tokio::join!(cluster.call(Method::POST, "/orders", ""), stop);
    assert_eq!(response.body.as_deref(), Ok("ok"));
    let Cluster { front, gate_nodes } = cluster;
    front.stop().await;
    for desk in gate_nodes {
        desk.stop().await;
    }
}

async fn long_upload_is_finished() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let shutdowns = [&cluster.front, &cluster.gate_nodes[0]].map(|node| node.shutdown.clone());
    let body_chunks = stream::iter(0..10).then(move |part| {
        let shutdowns = shutdowns.clone();
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if part == 5 {
                shutdowns
                    .iter()
                    .for_each(tokio_util::sync::CancellationToken::cancel);
            }
            Ok::<_, std::io::Error>(Frame::data(Bytes::from(vec![b'e'; 20_000])))
        }
    });
    let request = Request::post("/orders").header("host", DESK);
    let request = request.header("content-length", "200000");
    let request = request
        .body(StreamBody::new(Box::pin(body_chunks)))
        .expect("a valid request");
    let response = send_request(cluster.front.instance.caller, request)
        .await
        .expect("a response head");
    let response = collect_response(response).await;
    assert_eq!(response.body.as_deref(), Ok("ok"));
    assert!(server.requests()[0].len() > 200_000);
    let Cluster { front, gate_nodes } = cluster;
    front.stop().await;
    for desk in gate_nodes {
        desk.stop().await;
    }
}

async fn calls_avoid_a_draining_gate() {
    let first = BackendServer::start(&[OK]).await;
    let second = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&first, &second]).await;
    cluster.gate_nodes[0].admission.drain();
    for _ in 0..20 {
        let response = cluster.call(Method::POST, "/orders", "").await;
        assert_eq!(response.status, 200);
    }
    assert!(first.requests().is_empty());
    assert_eq!(second.requests().len(), 20);
}

async fn node_stops_under_load() {
    let first = BackendServer::start(&[SLOW]).await;
    let second = BackendServer::start(&[SLOW]).await;
    let mut cluster = Cluster::start(&[&first, &second]).await;
    let stopping_node = cluster.gate_nodes.remove(0);
    let calls = stream::iter(0..30)
        .map(|index| {
            let cluster = &cluster;
            async move {
                tokio::time::sleep(Duration::from_millis(index * 20)).await;
                cluster.call(Method::POST, "/orders", "").await.summary()
            }
        })
        .buffer_unordered(30)
        .collect::<Vec<_>>();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(250)).await;
        stopping_node.admission.drain();
        stopping_node.stop().await;
    };
    let (responses, ()) = tokio::join!(calls, stop);
    assert_eq!(responses, vec!["200  "; 30]);
    assert_eq!(first.requests().len() + second.requests().len(), 30);
}

/// A peer that hangs keeps its link open without sending anything; the shutdown must not wait for
/// it.
async fn node_stops_with_an_open_link() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let desk = cluster.gate_nodes.remove(0);
    let socket = TcpStream::connect(desk.instance.peer).await;
    let link = h2::client::handshake(socket.expect("a connection")).await;
    let (_requests, open_link) = link.expect("a handshake");
    desk.stop().await;
    drop(open_link);
}

/// A subscription has no end of its own.
async fn node_stops_with_a_subscriber() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let desk = cluster.gate_nodes.remove(0);
    let links = Links::new(peer::Settings::default(), cluster.front.recorder.clone());
    let (heard, address) = (Arc::new(Notify::new()), desk.instance.peer);
    let hearing = Arc::clone(&heard);
    let subscription = tokio::spawn(async move {
        let on_update = move |_| hearing.notify_one();
        links.subscribe_load(address, on_update).await
    });
    heard.notified().await;
    let stopped = tokio::time::timeout(STOP_LIMIT, desk.stop()).await;
    subscription.abort();
    assert!(stopped.is_ok(), "the stop waits for a subscription");
}

/// A recall withdraws a call that is queued behind another one, but not a running call.
async fn recall_result(queued: bool, expected: &str, runs: usize) {
    let server = BackendServer::start(&[SLOW]).await;
    let spec = NodeSpec {
        slots: if queued { 1 } else { 2 },
        ..NodeSpec::default()
    };
    let cluster = Cluster::start_with(&NodeSpec::front(), &spec, &[&server]).await;
    let links = Links::new(peer::Settings::default(), cluster.front.recorder.clone());
    let open = RequestHead {
        call: 7,
        plan: Version(1),
        service: DESK.into(),
        path: "/orders".into(),
        time_left: Duration::from_secs(5),
        bodiless: true,
        ..RequestHead::default()
    };
    let terms = AttemptTimeouts {
        recall_after: Some(Duration::from_millis(20)),
        time_left: Duration::from_secs(5),
    };
    let recalled = async {
        wait_for_request(&server).await;
        let empty = Empty::new().map_err(|never| match never {}).boxed_unsync();
        let upload = Upload::new(empty, false);
        match links
            .send_call(cluster.gate_nodes[0].instance.peer, &open, upload, terms)
            .await
        {
            AttemptOutcome::NotRun { not_run, .. } => not_run.reason().to_string(),
            AttemptOutcome::Answered { head, .. } => head.status.to_string(),
            AttemptOutcome::Unknown { unknown, .. } => unknown.loss().to_string(),
        }
    };
    let (first, second) = tokio::join!(cluster.call(Method::POST, "/orders", ""), recalled);
    assert_eq!((first.status, second.as_str()), (200, expected));
    assert_eq!(server.requests().len(), runs);
}

cases! {
    queued_call_is_recalled: run(recall_result(true, "recalled", 1));
    running_call_is_not_recalled: run(recall_result(false, "200 OK", 2));
    running_call_finishes_during_shutdown: run(running_call_is_finished());
    long_upload_finishes_during_shutdown: run(long_upload_is_finished());
    shutdown_ends_although_a_peer_keeps_its_link_open: run(node_stops_with_an_open_link());
    shutdown_ends_although_a_peer_subscribes: run(node_stops_with_a_subscriber());
    draining_gate_gets_no_calls: run(calls_avoid_a_draining_gate());
    shutdown_under_load_fails_no_call: run(node_stops_under_load());
}
