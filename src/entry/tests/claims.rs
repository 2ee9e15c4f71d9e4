use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::test_cluster::{Answer, BackendServer, Cluster, DESK, OK, Step, plan, run, send};

const SLOW: Step = Step::After(
    Duration::from_millis(100),
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);
const SHED: Step =
    Step::Send("HTTP/1.1 503 Full\r\nbackend-not-run: 1\r\ncontent-length: 0\r\n\r\n");

async fn order(address: SocketAddr, key: &str) -> Answer {
    let request = Request::post("/orders").header("host", DESK);
    let request = request.header("idempotency-key", key);
    let request = request.body(Full::new(Bytes::from("eggs")));
    send(address, request.expect("a request")).await
}

async fn cluster(step: Step) -> (Cluster, [BackendServer; 3]) {
    let first = BackendServer::start(&[step]).await;
    let servers = [first.twin().await, first.twin().await, first];
    let cluster = Cluster::start(&servers.each_ref()).await;
    (cluster, servers)
}

fn runs(servers: &[BackendServer]) -> usize {
    servers.iter().map(|server| server.seen().len()).sum()
}

async fn sent_again(by_another_node: bool) {
    let (cluster, servers) = cluster(OK).await;
    let front = cluster.front.instance.caller;
    let again = if by_another_node {
        cluster.gate_nodes[1].instance.caller
    } else {
        front
    };
    assert_eq!(order(front, "k1").await.summary(), "200  ");
    assert_eq!(order(again, "k1").await.summary(), "409 not-run duplicate");
    assert_eq!(runs(&servers), 1);
    assert_eq!(order(again, "k2").await.summary(), "200  ");
}

async fn sent_at_the_same_time() {
    let (cluster, servers) = cluster(SLOW).await;
    let addresses = [
        &cluster.front,
        &cluster.gate_nodes[0],
        &cluster.gate_nodes[1],
    ];
    let calls = addresses.map(|node| order(node.instance.caller, "k1"));
    let answers = futures::future::join_all(calls).await;
    let mut summaries: Vec<String> = answers.iter().map(Answer::summary).collect();
    summaries.sort();
    let duplicate = "409 not-run duplicate";
    assert_eq!(summaries, ["200  ", duplicate, duplicate]);
    assert_eq!(runs(&servers), 1);
}

async fn outcome_is_lost() {
    let (cluster, servers) = cluster(Step::Close).await;
    let front = cluster.front.instance.caller;
    assert_eq!(
        order(front, "k1").await.summary(),
        "502 unknown backend-lost"
    );
    assert_eq!(order(front, "k1").await.summary(), "409 not-run duplicate");
    assert_eq!(runs(&servers), 1);
}

async fn refused_call_lets_the_key_go() {
    let (cluster, servers) = cluster(SHED).await;
    let front = cluster.front.instance.caller;
    for _ in 0..2 {
        let answer = order(front, "k1").await;
        assert_eq!(answer.summary(), "503 not-run shed");
        // The key is let go behind the answer.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(runs(&servers) >= 2);
}

/// Whichever nodes hold the key, one of them is gone when it comes again.
async fn one_holder_dies() {
    for dead in 0..3 {
        let (mut cluster, servers) = cluster(OK).await;
        assert_eq!(
            order(cluster.front.instance.caller, "k1").await.summary(),
            "200  "
        );
        cluster.gate_nodes.remove(dead).stop().await;
        let cut_off = order(cluster.front.instance.caller, "k1").await;
        assert_ne!(cut_off.status, 200);
        cluster.apply_plan(&plan());
        let answer = order(cluster.front.instance.caller, "k1").await;
        assert_eq!(answer.summary(), "409 not-run duplicate");
        assert_eq!(runs(&servers), 1);
    }
}

async fn refused(key: &str) {
    let (cluster, servers) = cluster(OK).await;
    let answer = order(cluster.front.instance.caller, key).await;
    assert_eq!(answer.summary(), "400 not-run malformed");
    assert_eq!(runs(&servers), 0);
}

cases! {
    key_sent_again_runs_once: run(sent_again(false));
    key_sent_again_through_another_node_runs_once: run(sent_again(true));
    key_sent_three_times_at_once_runs_once: run(sent_at_the_same_time());
    key_of_a_lost_call_does_not_run_again: run(outcome_is_lost());
    key_of_a_refused_call_may_run: run(refused_call_lets_the_key_go());
    key_outlives_one_holder: run(one_holder_dies());
    long_key_is_refused: run(refused(&"k".repeat(256)));
}
