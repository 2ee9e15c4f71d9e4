//! Serves metrics as text to whoever fetches them.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::telemetry::metric::Scrape;

/// Path of the metrics.
const PATH: &str = "/metrics";
/// Pause after the system refuses to accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves until dropped.
pub(super) async fn serve(listener: TcpListener, scrape: Arc<Scrape>) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                tokio::spawn(serve_connection(socket, Arc::clone(&scrape)));
            }
            Err(error) => {
                log::warn!("metrics cannot be fetched: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(socket: TcpStream, scrape: Arc<Scrape>) {
    let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let response = answer(request.uri().path(), &scrape);
        async move { Ok::<_, Infallible>(response) }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // Whoever fetches sees a cut answer and fetches again.
    let _ = serving.await;
}

fn answer(path: &str, scrape: &Scrape) -> Response<Full<Bytes>> {
    if path != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(scrape.text())));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    response
}
