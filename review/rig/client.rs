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
    pub end: End,
    /// Whether its connection had served a request before.
    pub is_kept: bool,
}

/// Sends a request on a new connection and waits for its end.
pub fn send(node: SocketAddr, request: &Request, record: &Record) -> Sent {
    Connection::default().send(node, request, record)
}

/// A connection that is kept for the next request while it lasts.
#[derive(Default)]
pub struct Connection {
    kept: Option<Reader>,
}

impl Connection {
    /// Sends a request and waits for its end.
    pub fn send(&mut self, node: SocketAddr, request: &Request, record: &Record) -> Sent {
        let at = record.now();
        let started = Instant::now();
        record.line(&format!(
            "consumer sends {} {} {} to {node}",
            request.method, request.path, request.id
        ));
        let is_kept = self.kept.is_some();
        let end = self.exchange(node, request);
        record.line(&format!(
            "consumer of {} sees {end:?} after {:.3} s",
            request.id,
            started.elapsed().as_secs_f64()
        ));
        Sent {
            request: request.clone(),
            at,
            end,
            is_kept,
        }
    }

    fn exchange(&mut self, node: SocketAddr, request: &Request) -> End {
        let Some(mut reader) = self.kept.take().or_else(|| connect(node)) else {
            return End::NotTaken;
        };
        let _ = reader.stream.set_read_timeout(Some(request.deadline));
        let fields = [
            ("Host", request.host.to_owned()),
            ("X-Attempt-Id", request.id.clone()),
            ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
        ];
        let body: &[u8] = if request.method == "GET" { b"" } else { b"two" };
        let bytes = http::request(request.method, &request.path, &fields, body);
        if http::write(&mut reader.stream, &bytes).is_err() {
            return End::NotTaken;
        }
        match answer(&mut reader) {
            Ok(Some(head)) => {
                let closes = head.get("connection").is_some_and(|value| value == "close");
                self.kept = (!closes).then_some(reader);
                End::Answered(head.status())
            }
            Ok(None) => End::Closed,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::GaveUp
            }
            Err(_) => End::Closed,
        }
    }
}

fn connect(node: SocketAddr) -> Option<Reader> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1));
    stream.ok().map(Reader::new)
}

fn answer(reader: &mut Reader) -> std::io::Result<Option<Head>> {
    let Some(head) = reader.head()? else {
        return Ok(None);
    };
    reader.body(&head, true)?;
    Ok(Some(head))
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
