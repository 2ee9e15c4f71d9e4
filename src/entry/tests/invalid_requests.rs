use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::test_cluster::{BackendServer, Cluster, NodeSpec, OK, Step, run};
use crate::call::Event;
use crate::entry;
use http::Method;

/// Sends raw bytes to the entry and returns the head of the response.
async fn exchange(cluster: &Cluster, bytes: &[u8]) -> String {
    let address = cluster.front.instance.caller;
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    socket.write_all(bytes).await.expect("the socket is open");
    let mut response = String::new();
    while !response.contains("\r\n\r\n") {
        let mut chunk = [0; 1024];
        match socket.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(read) => response.push_str(&String::from_utf8_lossy(&chunk[..read])),
        }
    }
    response
}

async fn refused(bytes: &[u8], status: &str) {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let response = exchange(&cluster, bytes).await;
    assert!(response.starts_with(status), "{response}");
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.status, 200);
}

/// Request smuggling, RFC 9112, section 6.1: the transfer coding takes precedence, the length is
/// not forwarded, and nothing that follows on the connection is read as a request.
async fn length_and_transfer_encoding() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let request_bytes = b"POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: desk\r\n\r\n";
    let response = exchange(&cluster, request_bytes).await;
    assert!(response.contains("connection: close"), "{response}");
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.status, 200);
    let seen = server.requests();
    assert_eq!(seen.len(), 2);
    assert!(!seen[0].contains("content-length: 4"), "{}", seen[0]);
    assert!(!seen.concat().contains("hidden"));
}

async fn hop_by_hop_fields_are_removed() {
    let server = BackendServer::start(&[Step::Send(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: x-inner\r\nx-inner: 1\r\n\
         monsooncove-outcome: not-run\r\nx-outer: 1\r\n\r\n",
    )])
    .await;
    let cluster = Cluster::start(&[&server]).await;
    let request = b"GET /orders HTTP/1.1\r\nhost: desk\r\nconnection: x-hop, content-length\r\n\
        x-hop: 1\r\nproxy-authorization: secret\r\nkeep-alive: 5\r\nx-kept: 1\r\n\r\n";
    let response = exchange(&cluster, request).await;
    let seen = server.requests().remove(0);
    for removed in ["x-hop", "proxy-authorization", "keep-alive"] {
        assert!(!seen.contains(removed), "{seen}");
    }
    assert!(seen.contains("x-kept: 1"), "{seen}");
    assert!(!response.contains("x-inner"), "{response}");
    assert!(!response.contains("not-run"), "{response}");
    assert!(response.contains("x-outer: 1"), "{response}");
}

async fn too_many_connections() {
    let server = BackendServer::start(&[OK]).await;
    let front = NodeSpec {
        entry: entry::Settings {
            max_connections: 1,
            ..entry::Settings::default()
        },
        ..NodeSpec::front()
    };
    let cluster = Cluster::start_with(&front, &NodeSpec::default(), &[&server]).await;
    let mut first = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("the socket is open");
    first
        .write_all(b"GET /orders HTTP/1.1\r\n")
        .await
        .expect("the socket is open");
    while cluster.front.recorder.count(Event::Connected) == 0 {
        tokio::task::yield_now().await;
    }
    let mut second = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("the socket is open");
    let result = second.read(&mut [0; 1]).await;
    assert!(matches!(result, Ok(0) | Err(_)), "{result:?}");
    assert_eq!(cluster.front.recorder.count(Event::Rejected), 1);
    first
        .write_all(b"host: desk\r\n\r\n")
        .await
        .expect("the socket is open");
    let mut response = [0; 12];
    first.read_exact(&mut response).await.expect("a response");
    assert_eq!(&response, b"HTTP/1.1 200");
}

async fn slow_request_head() {
    let server = BackendServer::start(&[OK]).await;
    let front = NodeSpec {
        entry: entry::Settings {
            head_timeout: std::time::Duration::from_millis(50),
            ..entry::Settings::default()
        },
        ..NodeSpec::front()
    };
    let cluster = Cluster::start_with(&front, &NodeSpec::default(), &[&server]).await;
    let mut slow = TcpStream::connect(cluster.front.instance.caller)
        .await
        .expect("the socket is open");
    slow.write_all(b"GET /orders HTTP/1.1\r\nx-slow: ")
        .await
        .expect("the socket is open");
    let mut response = Vec::new();
    slow.read_to_end(&mut response)
        .await
        .expect("the end of the connection");
    assert!(!response.starts_with(b"HTTP/1.1 2"), "{response:?}");
    assert!(server.requests().is_empty());
}

async fn wrong_protocol_on_the_peer_port() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let mut socket = TcpStream::connect(cluster.gate_nodes[0].instance.peer)
        .await
        .expect("the socket is open");
    socket
        .write_all(b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n")
        .await
        .expect("the socket is open");
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response).await;
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
    length_beside_transfer_encoding_closes_the_connection: run(length_and_transfer_encoding());
    two_lengths_are_refused: run(refused(
        b"POST /orders HTTP/1.1\r\nhost: desk\r\ncontent-length: 4\r\n\
          content-length: 5\r\n\r\neggs!", "HTTP/1.1 400"));
    unknown_transfer_coding_is_refused: run(refused(
        b"POST /orders HTTP/1.1\r\nhost: desk\r\n\
          transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"));
    folded_header_line_is_refused: run(refused(
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
    connect_method_is_refused: run(refused(
        b"CONNECT desk:80 HTTP/1.1\r\nhost: desk\r\n\r\n", "HTTP/1.1 400"));
    long_head_is_refused: run(refused(&long_head(), "HTTP/1.1 431"));
    many_fields_are_refused: run(refused(&many_fields(), "HTTP/1.1 431"));
    hop_by_hop_fields_are_not_forwarded: run(hop_by_hop_fields_are_removed());
    connection_over_the_limit_is_closed: run(too_many_connections());
    slow_head_times_out: run(slow_request_head());
    other_protocol_on_the_peer_port_is_counted: run(wrong_protocol_on_the_peer_port());
}
