use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};

use super::test_cluster::{
    BackendServer, Cluster, DESK, Node, NodeSpec, OK, plan, run, send_and_collect, send_request,
};

/// Backend server that calls its own service again, like services that call each other in a loop.
#[derive(Clone, Default)]
struct LoopingServer {
    entry: Arc<OnceLock<SocketAddr>>,
    running: Arc<AtomicUsize>,
    max_hops: Arc<AtomicUsize>,
    /// Number of hops at which it does not respond.
    no_response_at_hops: usize,
}

/// Counts a request while it runs.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LoopingServer {
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let looping_server = self.clone();
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.expect("a connection");
                let looping_server = looping_server.clone();
                let service = hyper::service::service_fn(move |request| {
                    let looping_server = looping_server.clone();
                    async move { Ok::<_, Infallible>(looping_server.serve(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(socket), service);
                tokio::spawn(connection);
            }
        });
        address
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<BoxBody<Bytes, hyper::Error>> {
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(self.running.clone());
        let hops_header = request.headers()["monsooncove-hops"]
            .to_str()
            .expect("a text value");
        let hops = hops_header.parse().expect("a number");
        self.max_hops.fetch_max(hops, Ordering::Relaxed);
        if hops == self.no_response_at_hops {
            std::future::pending::<()>().await;
        }
        let entry = *self.entry.get().expect("an entry");
        let (head, _) = request.into_parts();
        let next = Request::from_parts(head, Empty::<Bytes>::new());
        let response = send_request(entry, next).await.expect("a response head");
        response.map(BodyExt::boxed)
    }
}

async fn start_looping_server(no_response_at_hops: usize) -> (Cluster, LoopingServer) {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let looping_server = LoopingServer {
        no_response_at_hops,
        ..LoopingServer::default()
    };
    looping_server
        .entry
        .set(cluster.front.instance.caller)
        .expect("the entry is not set yet");
    let spec = NodeSpec {
        slots: 16,
        ..NodeSpec::default()
    };
    cluster.gate_nodes = vec![Node::start(&spec, looping_server.listen().await).await];
    cluster.apply_plan(&plan());
    (cluster, looping_server)
}

fn get_request() -> Request<Full<Bytes>> {
    let request = Request::get("/orders").header("host", DESK);
    request.body(Full::default()).expect("a valid request")
}

async fn loop_of_services() {
    let (cluster, looping_server) = start_looping_server(usize::MAX).await;
    let response = send_and_collect(cluster.front.instance.caller, get_request()).await;
    assert_eq!(response.status, 508);
    assert_eq!(looping_server.max_hops.load(Ordering::Relaxed), 10);
    assert!(
        response
            .body
            .expect("a complete body")
            .contains("too-many-hops")
    );
}

/// Ten hops with four spans each: entry, attempt, gate and backend server.
const SPANS: usize = 40;

async fn spans_of_ten_hops() {
    let (cluster, _looping_server) = start_looping_server(usize::MAX).await;
    send_and_collect(cluster.front.instance.caller, get_request()).await;
    let traces = || {
        let mut traces = cluster.front.recorder.traces();
        traces.extend(cluster.gate_nodes[0].recorder.traces());
        traces
    };
    while traces().len() < SPANS {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let traces = traces();
    assert_eq!(traces.len(), SPANS);
    assert!(traces.iter().all(|trace| trace.id == traces[0].id));
    let roots = traces.iter().filter(|trace| trace.parent == 0);
    assert_eq!(roots.count(), 1);
    for trace in traces.iter().filter(|trace| trace.parent != 0) {
        assert!(traces.iter().any(|parent| parent.span == trace.parent));
    }
}

async fn cancellation_through_ten_hops() {
    let (cluster, looping_server) = start_looping_server(10).await;
    let call = tokio::spawn(send_request(cluster.front.instance.caller, get_request()));
    while looping_server.running.load(Ordering::Relaxed) < 10 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    call.abort();
    while looping_server.running.load(Ordering::Relaxed) > 0
        || cluster.gate_nodes[0].admission.in_hand() > 0
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn http2_caller() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let socket = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("the socket is open");
    let io = TokioIo::new(socket);
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), io).await;
    let (mut sender, connection) = handshake.expect("a handshake");
    tokio::spawn(connection);
    for _ in 0..3 {
        let request = Request::post("http://desk/orders").body(Full::new(Bytes::from("eggs")));
        let response = sender.send_request(request.expect("a valid request")).await;
        let body = response
            .expect("a response head")
            .collect()
            .await
            .expect("a complete body");
        assert_eq!(body.to_bytes(), "ok");
    }
    let seen = server.requests();
    assert_eq!(seen.len(), 3);
    assert!(seen[0].contains("host: desk\r\n"), "{}", seen[0]);
}

cases! {
    loop_of_services_ends_at_ten_hops: run(loop_of_services());
    spans_of_ten_hops_form_one_tree: run(spans_of_ten_hops());
    cancellation_reaches_the_tenth_hop: run(cancellation_through_ten_hops());
    http2_caller_is_served: run(http2_caller());
}
