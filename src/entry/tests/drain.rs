use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Method, Request};
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody};
use tokio::net::TcpStream;

use super::test_cluster::{BackendServer, Cluster, DESK, OK, Spec, Step, collect, run, start};
use crate::peer::wire::RequestHead;
use crate::peer::{self, AttemptOutcome, AttemptTimeouts, Links, Upload};
use crate::plan::Version;

const SLOW: Step = Step::After(
    Duration::from_millis(200),
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);

async fn seen_by(server: &BackendServer) {
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn running_call_is_finished() {
    let server = BackendServer::start(&[SLOW]).await;
    let cluster = Cluster::start(&[&server]).await;
    let shutdowns = [&cluster.front, &cluster.gate_nodes[0]].map(|node| node.shutdown.clone());
    let stop = async {
        seen_by(&server).await;
        for shutdown in &shutdowns {
            shutdown.cancel();
        }
    };
    let (answer, ()) = tokio::join!(cluster.call(Method::POST, "/orders", ""), stop);
    assert_eq!(answer.body.as_deref(), Ok("ok"));
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
    let parts = stream::iter(0..10).then(move |part| {
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
        .body(StreamBody::new(Box::pin(parts)))
        .expect("a request");
    let response = start(cluster.front.instance.caller, request)
        .await
        .expect("a head");
    let answer = collect(response).await;
    assert_eq!(answer.body.as_deref(), Ok("ok"));
    assert!(server.seen()[0].len() > 200_000);
    let Cluster { front, gate_nodes } = cluster;
    front.stop().await;
    for desk in gate_nodes {
        desk.stop().await;
    }
}

async fn draining_gate_sends_calls_elsewhere() {
    let first = BackendServer::start(&[OK]).await;
    let second = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&first, &second]).await;
    cluster.gate_nodes[0].admission.drain();
    for _ in 0..20 {
        let answer = cluster.call(Method::POST, "/orders", "").await;
        assert_eq!(answer.status, 200);
    }
    assert!(first.seen().is_empty());
    assert_eq!(second.seen().len(), 20);
}

async fn node_stops_under_load() {
    let first = BackendServer::start(&[SLOW]).await;
    let second = BackendServer::start(&[SLOW]).await;
    let mut cluster = Cluster::start(&[&first, &second]).await;
    let leaving = cluster.gate_nodes.remove(0);
    let calls = stream::iter(0..30)
        .map(|at| {
            let cluster = &cluster;
            async move {
                tokio::time::sleep(Duration::from_millis(at * 20)).await;
                cluster.call(Method::POST, "/orders", "").await.summary()
            }
        })
        .buffer_unordered(30)
        .collect::<Vec<_>>();
    let stop = async {
        tokio::time::sleep(Duration::from_millis(250)).await;
        leaving.admission.drain();
        leaving.stop().await;
    };
    let (answers, ()) = tokio::join!(calls, stop);
    assert_eq!(answers, vec!["200  "; 30]);
    assert_eq!(first.seen().len() + second.seen().len(), 30);
}

/// A node that stands still keeps its link open and says nothing more.
async fn node_stops_beside_a_silent_one() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let desk = cluster.gate_nodes.remove(0);
    let socket = TcpStream::connect(desk.instance.peer).await;
    let link = h2::client::handshake(socket.expect("a connection")).await;
    let (_requests, silent) = link.expect("a handshake");
    desk.stop().await;
    drop(silent);
}

/// A call that waits behind another is given back; one that runs is not.
async fn recalled_while(queued: bool, expected: &str, runs: usize) {
    let server = BackendServer::start(&[SLOW]).await;
    let narrow = Spec {
        slots: if queued { 1 } else { 2 },
        ..Spec::default()
    };
    let cluster = Cluster::start_with(&Spec::front(), &narrow, &[&server]).await;
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
        seen_by(&server).await;
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
    assert_eq!(server.seen().len(), runs);
}

cases! {
    queued_call_is_recalled: run(recalled_while(true, "recalled", 1));
    running_call_is_not_recalled: run(recalled_while(false, "200 OK", 2));
    running_call_outlives_the_stop: run(running_call_is_finished());
    long_upload_outlives_the_stop: run(long_upload_is_finished());
    stop_ends_though_another_node_is_silent: run(node_stops_beside_a_silent_one());
    draining_gate_is_passed_over: run(draining_gate_sends_calls_elsewhere());
    stop_under_load_cuts_no_call: run(node_stops_under_load());
}
