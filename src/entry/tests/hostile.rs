use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::test_cluster::{BackendServer, Cluster, OK, Spec, Step, run};
use crate::call::Event;
use crate::entry;
use http::Method;

/// Sends raw bytes to the entry and returns the head that comes back.
async fn exchange(cluster: &Cluster, bytes: &[u8]) -> String {
    let address = cluster.front.instance.caller;
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    socket.write_all(bytes).await.expect("room");
    let mut answer = String::new();
    while !answer.contains("\r\n\r\n") {
        let mut chunk = [0; 1024];
        match socket.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(read) => answer.push_str(&String::from_utf8_lossy(&chunk[..read])),
        }
    }
    answer
}

async fn refused(bytes: &[u8], status: &str) {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let answer = exchange(&cluster, bytes).await;
    assert!(answer.starts_with(status), "{answer}");
    assert!(server.seen().is_empty(), "{:?}", server.seen());
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.status, 200);
}

/// RFC 9112, 6.1: the coding counts, the length is not passed on, and nothing
/// that follows on the connection is read as a request.
async fn both_lengths() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let smuggled = b"POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: desk\r\n\r\n";
    let answer = exchange(&cluster, smuggled).await;
    assert!(answer.contains("connection: close"), "{answer}");
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.status, 200);
    let seen = server.seen();
    assert_eq!(seen.len(), 2);
    assert!(!seen[0].contains("content-length: 4"), "{}", seen[0]);
    assert!(!seen.concat().contains("hidden"));
}

async fn hop_by_hop_fields_end_here() {
    let server = BackendServer::start(&[Step::Send(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: x-inner\r\nx-inner: 1\r\n\
         monsooncove-outcome: not-run\r\nx-outer: 1\r\n\r\n",
    )])
    .await;
    let cluster = Cluster::start(&[&server]).await;
    let request = b"GET /orders HTTP/1.1\r\nhost: desk\r\nconnection: x-hop, content-length\r\n\
        x-hop: 1\r\nproxy-authorization: secret\r\nkeep-alive: 5\r\nx-kept: 1\r\n\r\n";
    let answer = exchange(&cluster, request).await;
    let seen = server.seen().remove(0);
    for gone in ["x-hop", "proxy-authorization", "keep-alive"] {
        assert!(!seen.contains(gone), "{seen}");
    }
    assert!(seen.contains("x-kept: 1"), "{seen}");
    assert!(!answer.contains("x-inner"), "{answer}");
    assert!(!answer.contains("not-run"), "{answer}");
    assert!(answer.contains("x-outer: 1"), "{answer}");
}

async fn too_many_connections() {
    let server = BackendServer::start(&[OK]).await;
    let front = Spec {
        entry: entry::Settings {
            max_connections: 1,
            ..entry::Settings::default()
        },
        ..Spec::front()
    };
    let cluster = Cluster::start_with(&front, &Spec::default(), &[&server]).await;
    let mut first = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("room");
    first
        .write_all(b"GET /orders HTTP/1.1\r\n")
        .await
        .expect("room");
    while cluster.front.recorder.count(Event::Connected) == 0 {
        tokio::task::yield_now().await;
    }
    let mut second = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("room");
    let ended = second.read(&mut [0; 1]).await;
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    assert_eq!(cluster.front.recorder.count(Event::Rejected), 1);
    first.write_all(b"host: desk\r\n\r\n").await.expect("room");
    let mut answer = [0; 12];
    first.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

async fn slow_head() {
    let server = BackendServer::start(&[OK]).await;
    let front = Spec {
        entry: entry::Settings {
            head_timeout: std::time::Duration::from_millis(50),
            ..entry::Settings::default()
        },
        ..Spec::front()
    };
    let cluster = Cluster::start_with(&front, &Spec::default(), &[&server]).await;
    let mut slow = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("room");
    slow.write_all(b"GET /orders HTTP/1.1\r\nx-slow: ")
        .await
        .expect("room");
    let mut answer = Vec::new();
    slow.read_to_end(&mut answer).await.expect("an end");
    assert!(!answer.starts_with(b"HTTP/1.1 2"), "{answer:?}");
    assert!(server.seen().is_empty());
}

async fn wrong_protocol_on_the_peer_port() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let mut socket = TcpStream::connect(cluster.gate_nodes[0].instance.peer)
        .await
        .expect("room");
    socket
        .write_all(b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n")
        .await
        .expect("room");
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    assert_eq!(cluster.gate_nodes[0].recorder.count(Event::LinkRejected), 1);
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.status, 200);
}

fn long_head() -> Vec<u8> {
    let mut head = b"GET /orders HTTP/1.1\r\nhost: desk\r\nx-long: ".to_vec();
    head.extend(std::iter::repeat_n(b'x', 100_000));
    head.extend_from_slice(b"\r\n\r\n");
    head
}

fn many_fields() -> Vec<u8> {
    let mut head = b"GET /orders HTTP/1.1\r\nhost: desk\r\n".to_vec();
    for _ in 0..150 {
        head.extend_from_slice(b"x-many: 1\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}

cases! {
    both_lengths_count_as_chunked_and_end_the_connection: run(both_lengths());
    two_lengths_are_refused: run(refused(
        b"POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length: 4\r\n\
          content-length: 5\r\n\r\neggs!", "HTTP/1.1 400"));
    odd_transfer_coding_is_refused: run(refused(
        b"POST /orders HTTP/1.1\r\nhost: desk\r\n\
          transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"));
    folded_field_is_refused: run(refused(
        b"GET /orders HTTP/1.1\r\nhost: desk\r\nx-a: 1\r\n folded\r\n\r\n", "HTTP/1.1 400"));
    space_before_colon_is_refused: run(refused(
        b"POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length : 4\r\n\r\neggs",
        "HTTP/1.1 400"));
    two_hosts_are_refused: run(refused(
        b"GET /orders HTTP/1.1\r\nhost: desk\r\nhost: front\r\n\r\n", "HTTP/1.1 400"));
    dot_segments_are_refused: run(refused(
        b"GET /orders/../south HTTP/1.1\r\nhost: desk\r\n\r\n", "HTTP/1.1 400"));
    encoded_dot_segments_are_refused: run(refused(
        b"GET /orders/%2E%2e/south HTTP/1.1\r\nhost: desk\r\n\r\n", "HTTP/1.1 400"));
    tunnel_is_refused: run(refused(
        b"CONNECT desk:80 HTTP/1.1\r\nhost: desk\r\n\r\n", "HTTP/1.1 400"));
    long_head_is_refused: run(refused(&long_head(), "HTTP/1.1 431"));
    many_fields_are_refused: run(refused(&many_fields(), "HTTP/1.1 431"));
    hop_by_hop_fields_are_not_passed_on: run(hop_by_hop_fields_end_here());
    connection_over_the_limit_is_closed: run(too_many_connections());
    slow_head_is_cut: run(slow_head());
    other_protocol_on_the_peer_port_is_counted: run(wrong_protocol_on_the_peer_port());
}
