//! Responses to uploads whose callers are still sending.
//!
//! The callers here send the whole request before they read, as many do. A connection that closes
//! under their upload would cost them the response.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::test_cluster::{BackendServer, Cluster, DESK, Node, NodeSpec, OK, plan, run};

const PARTS: usize = 20;
const PART_BYTES: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(10);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A backend server that responds to a head and reads the body later.
async fn early_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut received = Vec::new();
                while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                    if socket
                        .read_buf(&mut received)
                        .await
                        .is_ok_and(|read| read == 0)
                    {
                        return;
                    }
                }
                let mut sent = socket.write_all(RESPONSE).await;
                while sent.is_ok() {
                    received.clear();
                    sent = socket.read_buf(&mut received).await.map(|_| ());
                }
            });
        }
    });
    address
}

/// Sends an upload part by part, then reads; the status line of the response.
async fn upload(socket: &mut TcpStream) -> std::io::Result<String> {
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: {DESK}\r\ncontent-length: {}\r\n\r\n",
        PARTS * PART_BYTES
    );
    socket.write_all(head.as_bytes()).await?;
    let part = vec![b'e'; PART_BYTES];
    for _ in 0..PARTS {
        socket.write_all(&part).await?;
        tokio::time::sleep(PAUSE).await;
    }
    let mut received = vec![0; 4_096];
    let read = socket.read(&mut received).await?;
    let text = String::from_utf8_lossy(&received[..read]).into_owned();
    Ok(text.lines().next().unwrap_or_default().to_owned())
}

async fn early_response_reaches_the_caller(is_stopping: bool) {
    let server = BackendServer::start(&[OK]).await;
    let mut cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes.clear();
    let desk = Node::start(&NodeSpec::default(), early_server().await).await;
    cluster.gate_nodes.push(desk);
    cluster.apply_plan(&plan());
    let caller = cluster.front.instance.caller;
    let mut socket = TcpStream::connect(caller).await.expect("a connection");
    if is_stopping {
        cluster.front.stopping.cancel();
    }
    for _ in 0..3 {
        let status = upload(&mut socket).await.expect("a response");
        assert_eq!(status, "HTTP/1.1 200 OK");
        if is_stopping {
            return;
        }
    }
}

async fn refusal_reaches_the_caller() {
    let server = BackendServer::start(&[OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    cluster.gate_nodes[0].admission.drain();
    let caller = cluster.front.instance.caller;
    let mut socket = TcpStream::connect(caller).await.expect("a connection");
    for _ in 0..3 {
        let status = upload(&mut socket).await.expect("a response");
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    }
}

cases! {
    early_response_reaches_a_caller_that_still_uploads:
        run(early_response_reaches_the_caller(false));
    early_response_of_a_stopping_node_reaches_a_caller_that_still_uploads:
        run(early_response_reaches_the_caller(true));
    refusal_reaches_a_caller_that_still_uploads: run(refusal_reaches_the_caller());
}
