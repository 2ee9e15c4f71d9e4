//! Backend servers that send bytes without end until their connection is closed.
//!
//! The call gets its final answer by its deadline, the connection is closed, and the slot and the
//! node are free for the next call. Memory stays bounded, since each kind has a bound of its own.

use http::Method;

use super::test_cluster::{BackendServer, Cluster, OK, Step, run};

const STATUS_LINE: Step = Step::SendWithoutEnd("HTTP/1.1 200 ", "O");
const NO_ANSWER: Step = Step::SendWithoutEnd("", "\0");
const HEADER_VALUE: Step = Step::SendWithoutEnd("HTTP/1.1 200 OK\r\nx-a: ", "a");
const HEADERS: Step = Step::SendWithoutEnd("HTTP/1.1 200 OK\r\n", "x-a: 1\r\n");
const INFORMATIONAL: Step = Step::SendWithoutEnd("", "HTTP/1.1 103 Early Hints\r\n\r\n");
const CHUNK_SIZE: Step =
    Step::SendWithoutEnd("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0");
const CHUNK_EXTENSION: Step = Step::SendWithoutEnd(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
    "a",
);
const TRAILERS: Step = Step::SendWithoutEnd(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x-a: 1\r\n",
);
const CHUNKS: Step = Step::SendWithoutEnd(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "4\r\neggs\r\n",
);
const UNFRAMED_BODY: Step = Step::SendWithoutEnd("HTTP/1.1 200 OK\r\n\r\n", "eggs");
const BYTES_AFTER_THE_BODY: Step =
    Step::SendWithoutEnd("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "eggs");

/// What the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// An answer of the node in place of the server's.
    Failure(u16),
    /// A head, and a body that does not look complete.
    CutBody,
    /// One of the two: the head may or may not have been sent when the body broke.
    NoSuccess,
    /// The server's answer, without the bytes behind it.
    Whole,
}

async fn check(step: Step, expected: Expected) {
    let server = BackendServer::start(&[step, OK]).await;
    let cluster = Cluster::start(&[&server]).await;
    let response = cluster.call(Method::POST, "/short", "").await;
    let outcome = match (response.status, &response.body) {
        (200, Ok(body)) if body == "ok" => Expected::Whole,
        (200, Err(_)) => Expected::CutBody,
        (status, _) => Expected::Failure(status),
    };
    match expected {
        Expected::NoSuccess => assert_ne!(outcome, Expected::Whole),
        _ => assert_eq!(outcome, expected),
    }
    server.connection_closed().await;
    assert_eq!(cluster.gate_nodes[0].admission.in_hand(), 0);
    let next = cluster.call(Method::GET, "/orders", "").await;
    assert_eq!(next.body.as_deref(), Ok("ok"));
}

/// Fifty servers at once do not keep the entry from serving others.
async fn many_at_once() {
    let sound = BackendServer::start(&[OK]).await;
    let endless = BackendServer::start(&[CHUNKS]).await;
    let front = Cluster::start(&[&endless]).await;
    let other = Cluster::start(&[&sound]).await;
    let calls = (0..50).map(|_| front.call(Method::POST, "/short", ""));
    let troubled = futures::future::join_all(calls);
    let served = async {
        for _ in 0..20 {
            let response = other.call(Method::POST, "/orders", "").await;
            assert_eq!(response.body.as_deref(), Ok("ok"));
        }
    };
    let (troubled, ()) = tokio::join!(troubled, served);
    assert!(
        troubled
            .iter()
            .all(|response| response.status != 200 || response.body.is_err())
    );
    assert_eq!(front.gate_nodes[0].admission.in_hand(), 0);
}

cases! {
    status_line: run(check(STATUS_LINE, Expected::Failure(502)));
    bytes_that_are_no_answer: run(check(NO_ANSWER, Expected::Failure(502)));
    header_value: run(check(HEADER_VALUE, Expected::Failure(502)));
    headers: run(check(HEADERS, Expected::Failure(502)));
    informational_answers: run(check(INFORMATIONAL, Expected::Failure(504)));
    chunk_size: run(check(CHUNK_SIZE, Expected::CutBody));
    chunk_extension: run(check(CHUNK_EXTENSION, Expected::NoSuccess));
    trailers: run(check(TRAILERS, Expected::NoSuccess));
    chunks: run(check(CHUNKS, Expected::CutBody));
    unframed_body: run(check(UNFRAMED_BODY, Expected::CutBody));
    bytes_after_the_body: run(check(BYTES_AFTER_THE_BODY, Expected::Whole));
    fifty_at_once: run(many_at_once());
}
