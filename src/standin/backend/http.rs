//! HTTP around the backend server.

use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

use super::{Arrival, Control, Server, Settings, Verdict};
use crate::clock::Clock;
use crate::headers;
use crate::standin::payload::{self, Side};

type Answer = Response<BoxBody<Bytes, Infallible>>;

struct Shared {
    server: Mutex<Server>,
    slots: Semaphore,
    clock: Clock,
}

impl Shared {
    fn server(&self) -> MutexGuard<'_, Server> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a backend server on `listener` until `shutdown`.
pub async fn serve(listener: TcpListener, settings: Settings, shutdown: CancellationToken) {
    let clock = Clock::start();
    let shared = Arc::new(Shared {
        slots: Semaphore::new(settings.slots as usize),
        server: Mutex::new(Server::new(settings, clock.now())),
        clock,
    });
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let connection = connection(stream, Arc::clone(&shared), shutdown.clone());
                    tokio::spawn(connection);
                }
            }
        }
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>, shutdown: CancellationToken) {
    // A lost option costs latency only.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(route(&shared, request).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    // How a connection ends is in the books of its requests.
    tokio::select! {
        () = shutdown.cancelled() => {}
        _ = serving => {}
    }
}

async fn route(shared: &Shared, request: Request<Incoming>) -> Answer {
    let now = shared.clock.now();
    match request.uri().path() {
        "/-/health" => {
            let mut server = shared.server();
            let health = Health {
                state: server.health(now),
                boot: server.boot(),
            };
            json(&health)
        }
        "/-/load" => {
            let mut server = shared.server();
            let load = Load {
                in_hand: server.load(),
                slots: server.slots(),
            };
            json(&load)
        }
        "/-/checks" => json(shared.server().checks()),
        "/-/executions" => json(shared.server().executions()),
        "/-/control" => control(shared, request).await,
        _ => work(shared, request).await,
    }
}

async fn control(shared: &Shared, request: Request<Incoming>) -> Answer {
    let parsed = match request.into_body().collect().await {
        Ok(body) => serde_json::from_slice::<Control>(&body.to_bytes()).ok(),
        Err(_) => None,
    };
    let Some(control) = parsed else {
        return plain(
            StatusCode::BAD_REQUEST,
            Bytes::from_static(b"not a control message\n"),
        );
    };
    let now = shared.clock.now();
    shared.server().control(now, control);
    plain(StatusCode::OK, Bytes::new())
}

async fn work(shared: &Shared, request: Request<Incoming>) -> Answer {
    let id = text(&request, &payload::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let arrival = Arrival {
        id: &id,
        home: text(&request, &payload::HOME),
    };
    let verdict = shared.server().take(shared.clock.now(), arrival);
    let answer = match verdict {
        Verdict::Shed => shed(),
        Verdict::Run(time) => run(shared, request, id, time, StatusCode::OK).await,
        Verdict::Fail(time) => {
            run(shared, request, id, time, StatusCode::INTERNAL_SERVER_ERROR).await
        }
    };
    signed(shared, answer)
}

async fn run(
    shared: &Shared,
    request: Request<Incoming>,
    id: String,
    time: Duration,
    status: StatusCode,
) -> Answer {
    let mut guard = Guard {
        shared,
        stage: Stage::Receiving,
    };
    let wanted = text(&request, &payload::ANSWER_BYTES).and_then(|text| text.parse().ok());
    let Some(digest) = digest(request.into_body()).await else {
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    };
    guard.stage = Stage::Running;
    let slot = shared.slots.acquire().await;
    // A timer would round no time at all up to a millisecond.
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    drop(slot);
    guard.stage = Stage::Done;
    echo(shared, id, wanted.unwrap_or_default(), digest, status)
}

fn echo(shared: &Shared, id: String, bytes: usize, digest: u64, status: StatusCode) -> Answer {
    let mut answer = Response::builder()
        .status(status)
        .header(payload::BODY_DIGEST, format!("{digest:016x}"))
        .header(payload::RAN_IN, shared.server().region());
    if !id.is_empty() {
        answer = answer.header(payload::REQUEST_ID, &id);
    }
    let frames = payload::chunks(id, Side::Answer, bytes).map(|chunk| Ok(Frame::data(chunk)));
    let body = BodyExt::boxed(StreamBody::new(frames));
    answer
        .body(body)
        .unwrap_or_else(|_| plain(StatusCode::BAD_REQUEST, Bytes::new()))
}

async fn digest(mut body: Incoming) -> Option<u64> {
    let mut digest = Xxh3::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            digest.update(data);
        }
    }
    Some(digest.digest())
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Receiving,
    Running,
    Done,
}

/// Ends the books of a request also when its connection is lost.
struct Guard<'a> {
    shared: &'a Shared,
    stage: Stage,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let mut server = self.shared.server();
        server.finish();
        match self.stage {
            Stage::Receiving => server.count_cut(),
            Stage::Running => server.count_abandoned(),
            Stage::Done => {}
        }
    }
}

fn shed() -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let one = http::HeaderValue::from_static("1");
    answer.headers_mut().insert(headers::BACKEND_NOT_RUN, one);
    answer
}

fn signed(shared: &Shared, mut answer: Answer) -> Answer {
    let mut server = shared.server();
    let state = server.sign(shared.clock.now()).to_string();
    let pairs = [
        (headers::BACKEND_STATE, state),
        (headers::BACKEND_BOOT, server.boot()),
    ];
    for (name, value) in pairs {
        if let Ok(value) = value.parse() {
            answer.headers_mut().insert(name, value);
        }
    }
    answer
}

fn text<'a>(request: &'a Request<Incoming>, name: &http::HeaderName) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn plain(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body).boxed());
    *answer.status_mut() = status;
    answer
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => plain(StatusCode::OK, Bytes::from(body)),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

#[derive(Serialize)]
struct Health {
    state: String,
    boot: String,
}

#[derive(Serialize)]
struct Load {
    in_hand: u32,
    slots: u32,
}
