use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Method, Request};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};

use super::test_cluster::{BackendServer, Cluster, DESK, OK, Spec, Step, collect, run, start};

const NO_CONTENT: Step = Step::Send("HTTP/1.1 204 No Content\r\nx-mark: 1\r\n\r\n");
const NOT_MODIFIED: Step =
    Step::Send("HTTP/1.1 304 Not Modified\r\ncontent-length: 20\r\netag: \"a\"\r\n\r\n");
const EMPTY: Step = Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-mark: 1\r\n\r\n");
const HEAD_ONLY: Step = Step::Send("HTTP/1.1 200 OK\r\ncontent-length: 20\r\nx-mark: 1\r\n\r\n");
const CHUNKED: Step = Step::Send(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n3\r\n !!\r\n0\r\n\r\n",
);
const INFORMED: Step = Step::Send(
    "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);
const WITH_TRAILERS: Step = Step::Send(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
     2\r\nok\r\n0\r\nx-sum: 7\r\n\r\n",
);
const PART_BYTES: usize = 64 * 1024;

async fn answers(step: Step, method: Method, status: u16, body: &str) {
    // The second call shows that the connections are still in step.
    let server = BackendServer::start(&[step, OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let answer = cluster.call(method, "/orders", "").await;
    assert_eq!((answer.status, answer.body.as_deref()), (status, Ok(body)));
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.body.as_deref(), Ok("ok"));
}

async fn trailers_are_passed_on() {
    let server = BackendServer::start(&[WITH_TRAILERS]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request = Request::get("/orders")
        .header("host", DESK)
        .header("te", "trailers");
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    let response = start(cluster.front.instance.caller, request)
        .await
        .expect("a head");
    let body = response.into_body().collect().await.expect("a whole body");
    let trailers = body.trailers().cloned().expect("trailers");
    assert_eq!(trailers.get("x-sum").expect("the field"), "7");
    assert!(server.seen()[0].contains("te: trailers"));
}

fn parts(count: usize) -> impl http_body::Body<Data = Bytes, Error = std::io::Error> + Send {
    let part = Bytes::from(vec![b'e'; PART_BYTES]);
    let parts = (0..count).map(move |_| Ok(Frame::data(part.clone())));
    StreamBody::new(stream::iter(parts))
}

/// An echo of any length, on a real server.
async fn echo() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.expect("a connection");
            let service = hyper::service::service_fn(|request: Request<hyper::body::Incoming>| {
                let response = http::Response::new(request.into_body());
                async { Ok::<_, std::convert::Infallible>(response) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(hyper_util::rt::TokioIo::new(socket), service);
            tokio::spawn(connection);
        }
    });
    address
}

async fn long_body_there_and_back(count: usize, sized: bool) {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes =
        vec![super::test_cluster::Node::start(&Spec::default(), echo().await).await];
    cluster.apply_plan(&super::test_cluster::plan());
    let mut request = Request::post("/orders").header("host", DESK);
    if sized {
        request = request.header("content-length", count * PART_BYTES);
    }
    let request = request.body(parts(count)).expect("a request");
    let response = start(cluster.front.instance.caller, request)
        .await
        .expect("a head");
    let mut body = response.into_body();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame
            .expect("no cut")
            .into_data()
            .map_or(0, |part| part.len());
    }
    assert_eq!(bytes, count * PART_BYTES);
}

async fn early_answer() {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    let early = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = early.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = early.accept().await.expect("a connection");
        let mut head = [0; 16];
        tokio::io::AsyncReadExt::read_exact(&mut socket, &mut head)
            .await
            .expect("a head");
        let answer = b"HTTP/1.1 403 Forbidden\r\ncontent-length: 2\r\n\r\nno";
        tokio::io::AsyncWriteExt::write_all(&mut socket, answer)
            .await
            .expect("room");
        tokio::time::sleep(Duration::from_secs(1)).await;
    });
    cluster.gate_nodes = vec![super::test_cluster::Node::start(&Spec::default(), address).await];
    cluster.apply_plan(&super::test_cluster::plan());
    let never_ends = stream::iter([Ok::<_, std::io::Error>(Frame::data(Bytes::from("eggs")))]);
    let never_ends = futures::StreamExt::chain(never_ends, stream::pending());
    let request = Request::post("/orders").header("host", DESK);
    let request = request
        .body(StreamBody::new(never_ends))
        .expect("a request");
    let response = start(cluster.front.instance.caller, request)
        .await
        .expect("a head");
    let answer = collect(response).await;
    assert_eq!((answer.status, answer.body.as_deref()), (403, Ok("no")));
}

/// A reader that stops must stop the sender too, all the way up.
async fn slow_reader() {
    let source = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = source.local_addr().expect("an address");
    let sent = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut socket, _) = source.accept().await.expect("a connection");
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut socket, head)
            .await
            .expect("room");
        let part = vec![b'e'; PART_BYTES];
        while tokio::io::AsyncWriteExt::write_all(&mut socket, &part)
            .await
            .is_ok()
        {
            counter.fetch_add(part.len(), std::sync::atomic::Ordering::Relaxed);
        }
    });
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes = vec![super::test_cluster::Node::start(&Spec::default(), address).await];
    cluster.apply_plan(&super::test_cluster::plan());
    let request = Request::get("/orders").header("host", DESK);
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    let response = start(cluster.front.instance.caller, request)
        .await
        .expect("a head");
    let mut before = usize::MAX;
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let now = sent.load(std::sync::atomic::Ordering::Relaxed);
        if now == before {
            break;
        }
        before = now;
    }
    // The buffers of three sockets and one stream, not the gigabyte.
    assert!(before < 100_000_000, "{before} bytes were taken");
    drop(response);
}

cases! {
    no_content_stays_without_body: run(answers(NO_CONTENT, Method::GET, 204, ""));
    not_modified_stays_without_body: run(answers(NOT_MODIFIED, Method::GET, 304, ""));
    empty_answer_is_whole: run(answers(EMPTY, Method::GET, 200, ""));
    answer_to_head_has_no_body: run(answers(HEAD_ONLY, Method::HEAD, 200, ""));
    chunked_answer_is_whole: run(answers(CHUNKED, Method::GET, 200, "ok !!"));
    informational_answer_is_skipped: run(answers(INFORMED, Method::GET, 200, "ok"));
    trailers_reach_the_caller: run(trailers_are_passed_on());
    hundred_megabytes_go_there_and_back: run(long_body_there_and_back(1600, true));
    chunked_body_goes_there_and_back: run(long_body_there_and_back(40, false));
    answer_before_the_request_ends_arrives: run(early_answer());
    slow_reader_stops_the_sender: run(slow_reader());
}
