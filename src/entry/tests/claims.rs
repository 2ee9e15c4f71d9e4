use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::test_cluster::{
    BackendServer, Cluster, DESK, OK, Step, TestResponse, plan, run, send_and_collect,
};

const SLOW: Step = Step::SendAfter(
    Duration::from_millis(100),
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);
const SHED: Step =
    Step::Send("HTTP/1.1 503 Full\r\nbackend-not-run: 1\r\ncontent-length: 0\r\n\r\n");

async fn send_order(address: SocketAddr, key: &str) -> TestResponse {
    let request = Request::post("/orders").header("host", DESK);
    let request = request.header("idempotency-key", key);
    let request = request.body(Full::new(Bytes::from("eggs")));
    send_and_collect(address, request.expect("a valid request")).await
}

async fn start_cluster(step: Step) -> (Cluster, [BackendServer; 3]) {
    let first = BackendServer::start(&[step]).await;
    let servers = [
        first.start_with_same_script().await,
        first.start_with_same_script().await,
        first,
    ];
    let cluster = Cluster::start(&servers.each_ref()).await;
    (cluster, servers)
}

fn run_count(servers: &[BackendServer]) -> usize {
    servers.iter().map(|server| server.requests().len()).sum()
}

async fn repeated_key(through_another_node: bool) {
    let (cluster, servers) = start_cluster(OK).await;
    let front = cluster.front.instance.caller;
    let second_entry = if through_another_node {
        cluster.gate_nodes[1].instance.caller
    } else {
        front
    };
    assert_eq!(send_order(front, "k1").await.summary(), "200  ");
    assert_eq!(
        send_order(second_entry, "k1").await.summary(),
        "409 not-run duplicate"
    );
    assert_eq!(run_count(&servers), 1);
    assert_eq!(send_order(second_entry, "k2").await.summary(), "200  ");
}

async fn concurrent_calls_with_one_key() {
    let (cluster, servers) = start_cluster(SLOW).await;
    let addresses = [
        &cluster.front,
        &cluster.gate_nodes[0],
        &cluster.gate_nodes[1],
    ];
    let calls = addresses.map(|node| send_order(node.instance.caller, "k1"));
    let responses = futures::future::join_all(calls).await;
    let mut summaries: Vec<String> = responses.iter().map(TestResponse::summary).collect();
    summaries.sort();
    let duplicate = "409 not-run duplicate";
    assert_eq!(summaries, ["200  ", duplicate, duplicate]);
    assert_eq!(run_count(&servers), 1);
}

async fn unknown_outcome() {
    let (cluster, servers) = start_cluster(Step::Close).await;
    let front = cluster.front.instance.caller;
    assert_eq!(
        send_order(front, "k1").await.summary(),
        "502 unknown backend-lost"
    );
    assert_eq!(
        send_order(front, "k1").await.summary(),
        "409 not-run duplicate"
    );
    assert_eq!(run_count(&servers), 1);
}

async fn refused_call_releases_its_key() {
    let (cluster, servers) = start_cluster(SHED).await;
    let front = cluster.front.instance.caller;
    for _ in 0..2 {
        let response = send_order(front, "k1").await;
        assert_eq!(response.summary(), "503 not-run shed");
        // The key is released in the background, after the response.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(run_count(&servers) >= 2);
}

/// Stops each gate node in turn, so that in some rounds a holder of the key is gone when the key
/// is sent again.
async fn one_holder_stops() {
    for stopped in 0..3 {
        let (mut cluster, servers) = start_cluster(OK).await;
        assert_eq!(
            send_order(cluster.front.instance.caller, "k1")
                .await
                .summary(),
            "200  "
        );
        cluster.gate_nodes.remove(stopped).stop().await;
        let response = send_order(cluster.front.instance.caller, "k1").await;
        assert_ne!(response.status, 200);
        cluster.apply_plan(&plan());
        let repeated = send_order(cluster.front.instance.caller, "k1").await;
        assert_eq!(repeated.summary(), "409 not-run duplicate");
        assert_eq!(run_count(&servers), 1);
    }
}

async fn refused(key: &str) {
    let (cluster, servers) = start_cluster(OK).await;
    let response = send_order(cluster.front.instance.caller, key).await;
    assert_eq!(response.summary(), "400 not-run malformed");
    assert_eq!(run_count(&servers), 0);
}

cases! {
    repeated_key_runs_once: run(repeated_key(false));
    repeated_key_through_another_node_runs_once: run(repeated_key(true));
    three_concurrent_calls_with_one_key_run_once: run(concurrent_calls_with_one_key());
    key_of_a_call_with_unknown_outcome_does_not_run_again: run(unknown_outcome());
    key_of_a_refused_call_may_be_used_again: run(refused_call_releases_its_key());
    claim_survives_the_loss_of_one_holder: run(one_holder_stops());
    long_key_is_refused: run(refused(&"k".repeat(256)));
}
