use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;

use super::test_cluster::{
    BackendServer, Cluster, DESK, Node, OK, Spec, Step, collect, plan, run, send, start,
};
use crate::call::{Event, Reason};
use crate::plan::Version;

const SHED: Step =
    Step::Send("HTTP/1.1 503 Full\r\nbackend-not-run: 1\r\ncontent-length: 0\r\n\r\n");
const CUT: Step = Step::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
const CUT_CHUNKED: Step =
    Step::SendAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");

async fn one_desk(step: Step, method: Method, path: &str, expected: &str) {
    let server = BackendServer::start(&[step]).await;
    let cluster = Cluster::start(&[&server]).await;
    let answer = cluster.call(method, path, "").await;
    assert_eq!(answer.summary(), expected);
    assert!(answer.body.is_ok());
    assert_eq!(server.seen().len(), 1);
}

/// Two gate nodes share `script`, in whatever order they are chosen.
async fn two_desks(script: &[Step], method: Method, expected: &str, runs: usize) {
    let first = BackendServer::start(script).await;
    let second = first.twin().await;
    let cluster = Cluster::start(&[&first, &second]).await;
    let answer = cluster.call(method, "/orders", "").await;
    let seen = first.seen().len() + second.seen().len();
    assert_eq!((answer.summary().as_str(), seen), (expected, runs));
}

async fn answered_over_a_link() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let answer = cluster.call(Method::POST, "/orders", "eggs").await;
    assert_eq!(answer.summary(), "200  ");
    assert_eq!(answer.body.as_deref(), Ok("ok"));
    let seen = server.seen();
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0].starts_with("POST /orders HTTP/1.1\r\n"),
        "{}",
        seen[0]
    );
    assert!(seen[0].ends_with("\r\n\r\neggs"), "{}", seen[0]);
}

async fn answered_beside_the_entry() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::post("/orders").header("host", DESK);
    let request = request
        .body(Full::new(Bytes::from("eggs")))
        .expect("a request");
    let answer = send(cluster.gate_nodes[0].instance.caller, request).await;
    assert_eq!(answer.body.as_deref(), Ok("ok"));
    assert!(server.seen()[0].ends_with("\r\n\r\neggs"));
}

async fn backend_server_is_down() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    server.stop().await;
    let answer = cluster.call(Method::POST, "/orders", "").await;
    assert_eq!(answer.summary(), "503 not-run unreachable");
    assert_eq!(answer.header("retry-after"), "1");
}

async fn gate_node_is_down() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes.remove(0).stop().await;
    let answer = cluster.call(Method::POST, "/orders", "").await;
    assert_eq!(answer.summary(), "503 not-run unreachable");
}

async fn answer_is_cut(step: Step) {
    let server = BackendServer::start(&[step]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders").header("host", DESK);
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    // Head and body may arrive apart; neither may look whole.
    match start(cluster.front.instance.caller, request).await {
        Ok(response) => assert!(collect(response).await.body.is_err()),
        Err(error) => assert!(error.is_incomplete_message(), "{error}"),
    }
    assert_eq!(cluster.front.recorder.count(Event::Cut), 1);
}

async fn caller_goes_away() {
    let server = BackendServer::start(&[Step::Hold]).await;
    let cluster = Cluster::start(&[&server]).await;
    let address = cluster.front.instance.caller;
    let request = Request::get("/orders").header("host", DESK);
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    let calling = tokio::spawn(start(address, request));
    while server.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    calling.abort();
    server.connection_closed().await;
}

async fn outside_the_home_regions() {
    let server = BackendServer::start(&[OK]).await;
    let southern = Spec {
        region: "south",
        zone: "south-a",
        ..Spec::default()
    };
    let cluster = Cluster::start_with(&Spec::front(), &southern, &[&server]).await;
    let answer = cluster.call(Method::GET, "/south/orders", "").await;
    assert_eq!(answer.summary(), "421 not-run region");
    let south = cluster.gate_nodes[0].instance.caller.to_string();
    assert_eq!(answer.header("monsooncove-serve-at"), south);
    assert!(server.seen().is_empty());
}

async fn refused_with(name: &str, value: &str, expected: &str) {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders").header("host", DESK);
    let request = request.header(name, value).body(Full::<Bytes>::default());
    let answer = send(cluster.front.instance.caller, request.expect("a request")).await;
    assert_eq!(answer.summary(), expected);
    assert!(server.seen().is_empty());
}

async fn context_reaches_the_backend_server() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders")
        .header("host", DESK)
        .header("monsooncove-hops", "3")
        .header("monsooncove-regions", "north")
        .header("monsooncove-tenant", "everywhere")
        .header("monsooncove-deadline-ms", "5000")
        .body(Full::<Bytes>::default());
    send(cluster.front.instance.caller, request.expect("a request")).await;
    let seen = server.seen().remove(0).to_ascii_lowercase();
    assert!(seen.contains("monsooncove-hops: 4\r\n"), "{seen}");
    assert!(seen.contains("monsooncove-regions: north\r\n"), "{seen}");
    assert!(
        seen.contains("monsooncove-tenant: everywhere\r\n"),
        "{seen}"
    );
    assert!(seen.contains("monsooncove-deadline-ms: 4"), "{seen}");
    assert!(seen.contains("traceparent: 00-"), "{seen}");
}

async fn no_plan_yet() {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let node = Node::start(&Spec::front(), nowhere).await;
    let request = Request::get("/orders").body(Full::<Bytes>::default());
    let answer = send(node.instance.caller, request.expect("a request")).await;
    assert_eq!(answer.summary(), "503 not-run no-plan");
}

async fn plan_shrinks_while_queued() {
    let slow = Step::After(
        Duration::from_millis(200),
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    let server = BackendServer::start(&[slow]).await;
    let narrow = Spec {
        slots: 1,
        ..Spec::default()
    };
    let cluster = Cluster::start_with(&Spec::front(), &narrow, &[&server]).await;
    let running = cluster.call(Method::POST, "/orders", "");
    let queued = async {
        while server.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let queued = cluster.call(Method::POST, "/orders", "");
        let shrink = async {
            while cluster.gate_nodes[0].admission.queued() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let mut plan = plan();
            plan.version = Version(2);
            plan.routes[2].regions = plan.routes[0].regions;
            cluster.apply_plan(&plan);
        };
        tokio::join!(queued, shrink).0
    };
    let (running, queued) = tokio::join!(running, queued);
    assert_eq!(running.status, 200);
    assert_eq!(queued.header("monsooncove-outcome"), "not-run");
    assert_eq!(server.seen().len(), 1);
    let refused = Event::Refused(Reason::StalePlan);
    assert_eq!(cluster.gate_nodes[0].recorder.count(refused), 1);
}

cases! {
    answer_comes_back_over_a_link: run(answered_over_a_link());
    answer_comes_back_without_a_link: run(answered_beside_the_entry());
    dead_backend_server_is_not_run: run(backend_server_is_down());
    dead_gate_node_is_not_run: run(gate_node_is_down());
    lost_connection_is_unknown:
        run(one_desk(Step::Close, Method::POST, "/orders", "502 unknown backend-lost"));
    silence_until_the_deadline_is_unknown:
        run(one_desk(Step::Hold, Method::POST, "/short", "504 unknown deadline"));
    shed_call_is_not_run:
        run(one_desk(SHED, Method::POST, "/orders", "503 not-run shed"));
    non_idempotent_call_is_not_sent_again:
        run(two_desks(&[Step::Close, OK], Method::POST, "502 unknown backend-lost", 1));
    idempotent_call_is_sent_elsewhere:
        run(two_desks(&[Step::Close, OK], Method::GET, "200  ", 2));
    shed_call_is_sent_elsewhere:
        run(two_desks(&[SHED, OK], Method::POST, "200  ", 2));
    call_is_sent_to_no_backend_server_twice:
        run(two_desks(&[SHED], Method::POST, "503 not-run shed", 2));
    cut_sized_answer_is_an_error: run(answer_is_cut(CUT));
    cut_chunked_answer_is_an_error: run(answer_is_cut(CUT_CHUNKED));
    caller_that_leaves_cancels_the_call: run(caller_goes_away());
    entry_outside_the_home_regions_says_where_to_go: run(outside_the_home_regions());
    tenant_of_other_regions_is_refused:
        run(refused_with("monsooncove-tenant", "southern", "421 not-run region"));
    regions_of_the_caller_bind:
        run(refused_with("monsooncove-regions", "south", "421 not-run region"));
    unknown_tenant_is_refused:
        run(refused_with("monsooncove-tenant", "nobody", "404 not-run unknown-tenant"));
    unknown_service_is_refused:
        run(refused_with("monsooncove-service", "nothing", "404 not-run unknown-service"));
    eleventh_hop_is_refused:
        run(refused_with("monsooncove-hops", "10", "508 not-run too-many-hops"));
    signed_deadline_is_malformed:
        run(refused_with("monsooncove-deadline-ms", "+5", "400 not-run malformed"));
    context_is_passed_on: run(context_reaches_the_backend_server());
    node_without_plan_refuses: run(no_plan_yet());
    shrunk_plan_holds_for_queued_calls: run(plan_shrinks_while_queued());
}
