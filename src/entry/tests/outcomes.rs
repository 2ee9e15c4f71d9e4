use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;

use super::test_cluster::{
    BackendServer, Cluster, DESK, Node, NodeSpec, OK, Step, collect_response, plan, run,
    send_and_collect, send_request,
};
use crate::call::{Event, Reason};
use crate::plan::Version;

const SHED: Step =
    Step::Send("HTTP/1.1 503 Full\r\nbackend-not-run: 1\r\ncontent-length: 0\r\n\r\n");
const TRUNCATED: Step = Step::SendAndClose("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
const TRUNCATED_CHUNKED: Step =
    Step::SendAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");

async fn check_one_server(step: Step, method: Method, path: &str, expected: &str) {
    let server = BackendServer::start(&[step]).await;
    let cluster = Cluster::start(&[&server]).await;
    let response = cluster.call(method, path, "").await;
    assert_eq!(response.summary(), expected);
    assert!(response.body.is_ok());
    assert_eq!(server.requests().len(), 1);
}

/// Two backend servers share `script`, in whichever order they are chosen.
async fn check_two_servers(script: &[Step], method: Method, expected: &str, expected_runs: usize) {
    let first = BackendServer::start(script).await;
    let second = first.start_with_same_script().await;
    let cluster = Cluster::start(&[&first, &second]).await;
    let response = cluster.call(method, "/orders", "").await;
    let seen = first.requests().len() + second.requests().len();
    assert_eq!(
        (response.summary().as_str(), seen),
        (expected, expected_runs)
    );
}

async fn response_over_a_link() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let response = cluster.call(Method::POST, "/orders", "eggs").await;
    assert_eq!(response.summary(), "200  ");
    assert_eq!(response.body.as_deref(), Ok("ok"));
    let seen = server.requests();
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0].starts_with("POST /orders HTTP/1.1\r\n"),
        "{}",
        seen[0]
    );
    assert!(seen[0].ends_with("\r\n\r\neggs"), "{}", seen[0]);
}

async fn response_without_a_link() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::post("/orders").header("host", DESK);
    let request = request
        .body(Full::new(Bytes::from("eggs")))
        .expect("a valid request");
    let response = send_and_collect(cluster.gate_nodes[0].instance.caller, request).await;
    assert_eq!(response.body.as_deref(), Ok("ok"));
    assert!(server.requests()[0].ends_with("\r\n\r\neggs"));
}

async fn backend_server_is_down() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    server.stop().await;
    let response = cluster.call(Method::POST, "/orders", "").await;
    assert_eq!(response.summary(), "503 not-run unreachable");
    assert_eq!(response.header("retry-after"), "1");
}

async fn gate_node_is_down() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes.remove(0).stop().await;
    let response = cluster.call(Method::POST, "/orders", "").await;
    assert_eq!(response.summary(), "503 not-run unreachable");
}

async fn response_is_truncated(step: Step) {
    let server = BackendServer::start(&[step]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders").header("host", DESK);
    let request = request
        .body(Full::<Bytes>::default())
        .expect("a valid request");
    // Head and body may arrive separately; neither may look complete.
    match send_request(cluster.front.instance.caller, request).await {
        Ok(response) => assert!(collect_response(response).await.body.is_err()),
        Err(error) => assert!(error.is_incomplete_message(), "{error}"),
    }
    assert_eq!(cluster.front.recorder.count(Event::ResponseCut), 1);
}

async fn caller_disconnects() {
    let server = BackendServer::start(&[Step::NeverRespond]).await;
    let cluster = Cluster::start(&[&server]).await;
    let address = cluster.front.instance.caller;
    let request = Request::get("/orders").header("host", DESK);
    let request = request
        .body(Full::<Bytes>::default())
        .expect("a valid request");
    let call = tokio::spawn(send_request(address, request));
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    call.abort();
    server.connection_closed().await;
}

async fn outside_the_home_regions() {
    let server = BackendServer::start(&[OK]).await;
    let southern = NodeSpec {
        region: "south",
        zone: "south-a",
        ..NodeSpec::default()
    };
    let cluster = Cluster::start_with(&NodeSpec::front(), &southern, &[&server]).await;
    let response = cluster.call(Method::GET, "/south/orders", "").await;
    assert_eq!(response.summary(), "421 not-run region");
    let south = cluster.gate_nodes[0].instance.caller.to_string();
    assert_eq!(response.header("monsooncove-serve-at"), south);
    assert!(server.requests().is_empty());
}

async fn check_refusal_with_header(name: &str, value: &str, expected: &str) {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders").header("host", DESK);
    let request = request.header(name, value).body(Full::<Bytes>::default());
    let response = send_and_collect(
        cluster.front.instance.caller,
        request.expect("a valid request"),
    )
    .await;
    assert_eq!(response.summary(), expected);
    assert!(server.requests().is_empty());
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
    send_and_collect(
        cluster.front.instance.caller,
        request.expect("a valid request"),
    )
    .await;
    let seen = server.requests().remove(0).to_ascii_lowercase();
    assert!(seen.contains("monsooncove-hops: 4\r\n"), "{seen}");
    assert!(seen.contains("monsooncove-regions: north\r\n"), "{seen}");
    assert!(
        seen.contains("monsooncove-tenant: everywhere\r\n"),
        "{seen}"
    );
    assert!(seen.contains("monsooncove-deadline-ms: 4"), "{seen}");
    assert!(seen.contains("traceparent: 00-"), "{seen}");
}

async fn node_without_plan() {
    let unreachable = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let node = Node::start(&NodeSpec::front(), unreachable).await;
    let request = Request::get("/orders").body(Full::<Bytes>::default());
    let response = send_and_collect(node.instance.caller, request.expect("a valid request")).await;
    assert_eq!(response.summary(), "503 not-run no-plan");
}

async fn regions_shrink_while_queued() {
    let slow = Step::SendAfter(
        Duration::from_millis(200),
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    let server = BackendServer::start(&[slow]).await;
    let spec = NodeSpec {
        slots: 1,
        ..NodeSpec::default()
    };
    let cluster = Cluster::start_with(&NodeSpec::front(), &spec, &[&server]).await;
    let running = cluster.call(Method::POST, "/orders", "");
    let queued = async {
        while server.requests().is_empty() {
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
    assert_eq!(server.requests().len(), 1);
    let refused = Event::Refused(Reason::StalePlan);
    assert_eq!(cluster.gate_nodes[0].recorder.count(refused), 1);
}

/// The entry knows a route that the first gates do not know yet.
async fn route_is_new_to_gates(behind: usize, expected: &str) {
    let server = BackendServer::start(&[OK]).await;
    let second = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server, &second]).await;
    let mut old_plan = plan();
    old_plan.services[0].routes.pop();
    let mut new_plan = plan();
    new_plan.version = Version(2);
    cluster.apply_plan(&new_plan);
    let nodes = std::iter::once(&cluster.front).chain(&cluster.gate_nodes);
    let instances: Vec<_> = nodes.map(|node| &node.instance).collect();
    for gate in cluster.gate_nodes.iter().take(behind) {
        gate.apply_snapshot(old_plan.clone(), &instances);
    }
    for _ in 0..8 {
        let response = cluster.call(Method::POST, "/orders", "").await;
        assert_eq!(response.summary(), expected);
    }
}

cases! {
    new_route_is_served_by_the_gate_that_knows_it: run(route_is_new_to_gates(1, "200  "));
    gates_that_lag_do_not_make_a_new_route_unknown:
        run(route_is_new_to_gates(2, "503 not-run stale-plan"));
    response_arrives_over_a_link: run(response_over_a_link());
    response_arrives_without_a_link: run(response_without_a_link());
    stopped_backend_server_gives_not_run: run(backend_server_is_down());
    stopped_gate_node_gives_not_run: run(gate_node_is_down());
    lost_connection_gives_unknown:
        run(check_one_server(Step::Close, Method::POST, "/orders", "502 unknown backend-lost"));
    no_response_until_the_deadline_gives_unknown:
        run(check_one_server(Step::NeverRespond, Method::POST, "/short", "504 unknown deadline"));
    shed_call_gives_not_run:
        run(check_one_server(SHED, Method::POST, "/orders", "503 not-run shed"));
    non_idempotent_call_is_not_retried:
        run(check_two_servers(&[Step::Close, OK], Method::POST, "502 unknown backend-lost", 1));
    idempotent_call_is_retried_elsewhere:
        run(check_two_servers(&[Step::Close, OK], Method::GET, "200  ", 2));
    shed_call_is_retried_elsewhere:
        run(check_two_servers(&[SHED, OK], Method::POST, "200  ", 2));
    call_is_sent_to_no_backend_server_twice:
        run(check_two_servers(&[SHED], Method::POST, "503 not-run shed", 2));
    truncated_sized_response_is_an_error: run(response_is_truncated(TRUNCATED));
    truncated_chunked_response_is_an_error: run(response_is_truncated(TRUNCATED_CHUNKED));
    disconnect_of_the_caller_cancels_the_call: run(caller_disconnects());
    entry_outside_the_home_regions_gives_addresses: run(outside_the_home_regions());
    tenant_of_other_regions_is_refused:
        run(check_refusal_with_header("monsooncove-tenant", "southern", "421 not-run region"));
    regions_header_restricts_the_call:
        run(check_refusal_with_header("monsooncove-regions", "south", "421 not-run region"));
    unknown_tenant_is_refused:
        run(check_refusal_with_header("monsooncove-tenant", "nobody", "404 not-run unknown-tenant"));
    unknown_service_is_refused:
        run(check_refusal_with_header("monsooncove-service", "nothing", "404 not-run unknown-service"));
    eleventh_hop_is_refused:
        run(check_refusal_with_header("monsooncove-hops", "10", "508 not-run too-many-hops"));
    signed_deadline_is_malformed:
        run(check_refusal_with_header("monsooncove-deadline-ms", "+5", "400 not-run malformed"));
    context_is_forwarded: run(context_reaches_the_backend_server());
    node_without_plan_refuses: run(node_without_plan());
    plan_without_the_region_refuses_queued_calls: run(regions_shrink_while_queued());
}
