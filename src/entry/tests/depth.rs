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

use super::test_cluster::{BackendServer, Cluster, DESK, Node, OK, Spec, plan, run, send, start};

/// A backend server that calls its own service again, as a loop of services would.
#[derive(Clone, Default)]
struct Loop {
    entry: Arc<OnceLock<SocketAddr>>,
    running: Arc<AtomicUsize>,
    deepest: Arc<AtomicUsize>,
    /// Depth at which it stays silent.
    silent_at: usize,
}

/// Counts a request as long as it runs.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Loop {
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let looping = self.clone();
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.expect("a connection");
                let looping = looping.clone();
                let service = hyper::service::service_fn(move |request| {
                    let looping = looping.clone();
                    async move { Ok::<_, Infallible>(looping.serve(request).await) }
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
        let hops = request.headers()["monsooncove-hops"]
            .to_str()
            .expect("text");
        let depth = hops.parse().expect("a number");
        self.deepest.fetch_max(depth, Ordering::Relaxed);
        if depth == self.silent_at {
            std::future::pending::<()>().await;
        }
        let entry = *self.entry.get().expect("an entry");
        let (head, _) = request.into_parts();
        let next = Request::from_parts(head, Empty::<Bytes>::new());
        let answer = start(entry, next).await.expect("a head");
        answer.map(BodyExt::boxed)
    }
}

async fn looping(silent_at: usize) -> (Cluster, Loop) {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let looping = Loop {
        silent_at,
        ..Loop::default()
    };
    looping
        .entry
        .set(cluster.front.instance.caller)
        .expect("once");
    let spec = Spec {
        slots: 16,
        ..Spec::default()
    };
    cluster.gate_nodes = vec![Node::start(&spec, looping.listen().await).await];
    cluster.apply_plan(&plan());
    (cluster, looping)
}

fn get() -> Request<Full<Bytes>> {
    let request = Request::get("/orders").header("host", DESK);
    request.body(Full::default()).expect("a request")
}

async fn loop_of_services() {
    let (cluster, looping) = looping(usize::MAX).await;
    let answer = send(cluster.front.instance.caller, get()).await;
    assert_eq!(answer.status, 508);
    assert_eq!(looping.deepest.load(Ordering::Relaxed), 10);
    assert!(answer.body.expect("whole").contains("too-many-hops"));
}

/// Entry, attempt, gate and backend server, ten times.
const SPANS: usize = 40;

async fn spans_of_ten_hops() {
    let (cluster, _looping) = looping(usize::MAX).await;
    send(cluster.front.instance.caller, get()).await;
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

async fn cancelled_through_ten_hops() {
    let (cluster, looping) = looping(10).await;
    let calling = tokio::spawn(start(cluster.front.instance.caller, get()));
    while looping.running.load(Ordering::Relaxed) < 10 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    calling.abort();
    while looping.running.load(Ordering::Relaxed) > 0
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
        .expect("room");
    let io = TokioIo::new(socket);
    let handshake = hyper::client::conn::http2::handshake(TokioExecutor::new(), io).await;
    let (mut sender, connection) = handshake.expect("a handshake");
    tokio::spawn(connection);
    for _ in 0..3 {
        let request = Request::post("http://desk/orders").body(Full::new(Bytes::from("eggs")));
        let response = sender.send_request(request.expect("a request")).await;
        let body = response.expect("a head").collect().await.expect("whole");
        assert_eq!(body.to_bytes(), "ok");
    }
    let seen = server.seen();
    assert_eq!(seen.len(), 3);
    assert!(seen[0].contains("host: desk\r\n"), "{}", seen[0]);
}

cases! {
    loop_of_services_ends_at_ten_hops: run(loop_of_services());
    spans_of_a_ten_deep_call_form_one_tree: run(spans_of_ten_hops());
    cancellation_passes_ten_hops: run(cancelled_through_ten_hops());
    http2_caller_is_served: run(http2_caller());
}
