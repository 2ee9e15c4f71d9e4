//! A stand-in of consumers and of the platform's question whether a node is ready.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Head, Reader};
use crate::record::Record;

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    /// Time for which the consumer waits.
    pub deadline: Duration,
}

/// How a request ended for its consumer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer.
    Answered(u16),
    /// The connection ended before the answer was whole.
    Closed,
    /// Nothing came in time, and the consumer left.
    GaveUp,
    /// The node took no connection, or closed it before the request was written.
    NotTaken,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: Request,
    /// Since the start of the script.
    pub at: Duration,
    pub took: Duration,
    pub end: End,
}

/// Sends a request on a new connection and waits for its end.
pub fn send(node: SocketAddr, request: &Request, record: &Record) -> Sent {
    let at = record.now();
    let started = Instant::now();
    record.line(&format!(
        "consumer sends {} {} {} to {node}",
        request.method, request.path, request.id
    ));
    let end = exchange(node, request);
    let took = started.elapsed();
    record.line(&format!(
        "consumer of {} sees {end:?} after {:.3} s",
        request.id,
        took.as_secs_f64()
    ));
    Sent {
        request: request.clone(),
        at,
        took,
        end,
    }
}

fn exchange(node: SocketAddr, request: &Request) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return End::NotTaken;
    };
    let _ = stream.set_read_timeout(Some(request.deadline));
    let fields = [
        ("Host", request.host.to_owned()),
        ("X-Attempt-Id", request.id.clone()),
        ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
    ];
    let body: &[u8] = if request.method == "GET" { b"" } else { b"two" };
    let bytes = http::request(request.method, &request.path, &fields, body);
    if http::write(&mut stream, &bytes).is_err() {
        return End::NotTaken;
    }
    let mut reader = Reader::new(stream);
    match answer(&mut reader) {
        Ok(Some(status)) => End::Answered(status),
        Ok(None) => End::Closed,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            End::GaveUp
        }
        Err(_) => End::Closed,
    }
}

fn answer(reader: &mut Reader) -> std::io::Result<Option<u16>> {
    let Some(head) = reader.head()? else {
        return Ok(None);
    };
    reader.body(&head, true)?;
    Ok(Some(head.status()))
}

/// Asks as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let limit = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let host = ("Host", address.to_string());
    let bytes = http::request("GET", "/ready", &[host], b"");
    let asked = http::write(&mut stream, &bytes).is_ok();
    let head = Reader::new(stream).head();
    asked && head.is_ok_and(|head| head.as_ref().map(Head::status) == Some(200))
}
