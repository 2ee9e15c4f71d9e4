//! Makes one call and judges what comes back.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::StreamExt;
use http::header::HeaderName;
use http::request::Builder;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use xxhash_rust::xxh3::xxh3_64;

use super::Kind;
use crate::headers;
use crate::standin::payload::{self, Side};

/// Request bodies up to this length are sent with their length, longer ones in
/// chunks.
const SIZED_BODY_BYTES: usize = 16 * 1024;

/// Times a request is sent again after a closing connection did not take it.
const MAX_RESENDS: u32 = 3;

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Protocol towards the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with kept connections.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

/// How a call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer to this request.
    Answered,
    /// Refused as not run, for that reason.
    Refused(String),
    /// It may have run: an explicit word of that, or a broken connection.
    Unknown(String),
    /// Nothing came back in time.
    Lost,
    /// An answer that belongs to another request, or was altered.
    Mixed,
    /// An answer that was cut short without an error.
    Cut,
}

/// Keeps connections to nodes.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Body>,
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(protocol: Protocol) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = legacy::Client::builder(TokioExecutor::new())
            .http2_only(protocol == Protocol::Http2)
            .build(connector);
        Self { http }
    }

    /// Calls the first of `targets` that listens.
    pub async fn call(&self, targets: &[SocketAddr], kind: &Kind, id: &str) -> Ending {
        let calling = self.call_in_turn(targets, kind, id);
        tokio::time::timeout(kind.patience, calling)
            .await
            .unwrap_or(Ending::Lost)
    }

    async fn call_in_turn(&self, targets: &[SocketAddr], kind: &Kind, id: &str) -> Ending {
        for target in targets {
            if request(*target, kind, id).is_none() {
                return Ending::Refused("malformed".into());
            }
            match self.send(*target, kind, id).await {
                Ok(response) => return self.settle(response, kind, id).await,
                Err(error) if error.is_connect() => {}
                Err(error) => return Ending::Unknown(chain(&error)),
            }
        }
        Ending::Refused("not listening".into())
    }

    /// Sends again what a closing connection did not take (RFC 9113, 6.8).
    async fn send(
        &self,
        target: SocketAddr,
        kind: &Kind,
        id: &str,
    ) -> Result<Response<Incoming>, legacy::Error> {
        let mut left = MAX_RESENDS;
        loop {
            let request = request(target, kind, id).unwrap_or_default();
            match self.http.request(request).await {
                Err(error) if left > 0 && was_not_taken(&error) => left -= 1,
                ended => return ended,
            }
        }
    }

    /// Follows a refusal to a node in the home regions, once.
    async fn settle(&self, response: Response<Incoming>, kind: &Kind, id: &str) -> Ending {
        let elsewhere = not_run(&response).and_then(|_| serve_at(&response));
        let Some(target) = elsewhere else {
            return judge(response, kind, id).await;
        };
        match self.send(target, kind, id).await {
            Ok(response) => judge(response, kind, id).await,
            Err(error) if error.is_connect() => Ending::Refused("not listening".into()),
            Err(error) => Ending::Unknown(chain(&error)),
        }
    }
}

/// Whether the other side closed the connection without taking the stream: it
/// sent GOAWAY without an error, and fails only streams above the last it takes.
fn was_not_taken(error: &legacy::Error) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<h2::Error>() {
            return error.is_go_away()
                && error.is_remote()
                && error.reason() == Some(h2::Reason::NO_ERROR);
        }
        cause = error.source();
    }
    false
}

/// An error with all that caused it.
fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

fn request(target: SocketAddr, kind: &Kind, id: &str) -> Option<Request<Body>> {
    let mut builder = Request::builder()
        .method(&kind.method)
        .uri(format!("http://{target}{}", kind.path))
        .header(headers::SERVICE, &kind.service)
        .header(payload::REQUEST_ID, id)
        .header(payload::ANSWER_BYTES, kind.answer_bytes);
    if let Some(tenant) = &kind.tenant {
        builder = builder.header(headers::TENANT, tenant);
    }
    if kind.keyed {
        builder = builder.header(headers::IDEMPOTENCY_KEY, id);
    }
    if !kind.home.is_empty() {
        builder = builder.header(payload::HOME, kind.home.join(","));
    }
    with_body(builder, kind, id)
}

fn with_body(builder: Builder, kind: &Kind, id: &str) -> Option<Request<Body>> {
    let body = if kind.request_bytes <= SIZED_BODY_BYTES {
        let bytes = payload::slice(id, Side::Request, 0, kind.request_bytes);
        Full::new(bytes).boxed_unsync()
    } else {
        let chunks = payload::chunks(id.to_owned(), Side::Request, kind.request_bytes);
        BodyExt::boxed_unsync(StreamBody::new(chunks.map(|chunk| Ok(Frame::data(chunk)))))
    };
    builder.body(body).ok()
}

async fn judge(response: Response<Incoming>, kind: &Kind, id: &str) -> Ending {
    if let Some(reason) = not_run(&response) {
        return Ending::Refused(reason);
    }
    if header(&response, &headers::OUTCOME).is_some() {
        let reason = header(&response, &headers::REASON).unwrap_or("unknown");
        return Ending::Unknown(reason.to_owned());
    }
    let own = header(&response, &payload::REQUEST_ID) == Some(id);
    let digest = header(&response, &payload::BODY_DIGEST).map(str::to_owned);
    match response.into_body().collect().await {
        Ok(body) if own => compare(&body.to_bytes(), digest.as_deref(), kind, id),
        Ok(_) => Ending::Mixed,
        Err(error) => Ending::Unknown(error.to_string()),
    }
}

/// Compares an answer with the one that only this request can get.
pub(super) fn compare(body: &Bytes, digest: Option<&str>, kind: &Kind, id: &str) -> Ending {
    let sent = payload::slice(id, Side::Request, 0, kind.request_bytes);
    let expected = payload::slice(id, Side::Answer, 0, kind.answer_bytes);
    if digest != Some(format!("{:016x}", xxh3_64(&sent)).as_str()) {
        return Ending::Mixed;
    }
    if *body == expected {
        return Ending::Answered;
    }
    if expected.starts_with(body) {
        Ending::Cut
    } else {
        Ending::Mixed
    }
}

fn not_run(response: &Response<Incoming>) -> Option<String> {
    if response.headers().contains_key(headers::BACKEND_NOT_RUN) {
        return Some("shed".to_owned());
    }
    let refused = header(response, &headers::OUTCOME)? == "not-run";
    let reason = header(response, &headers::REASON).unwrap_or("none given");
    refused.then(|| reason.to_owned())
}

fn serve_at(response: &Response<Incoming>) -> Option<SocketAddr> {
    let addresses = header(response, &headers::SERVE_AT)?;
    addresses
        .split(',')
        .find_map(|address| address.trim().parse().ok())
}

fn header<'a>(response: &'a Response<Incoming>, name: &HeaderName) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}
