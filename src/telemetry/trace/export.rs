//! The way to the collector: OTLP over HTTP, by `hyper`.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry_http::{HttpClient, HttpError};
use opentelemetry_otlp::{SpanExporter, WithExportConfig, WithHttpConfig};
use tokio::runtime::Handle;

/// Longest time one request to the collector may take.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Largest answer read from the collector.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// An exporter to the collector at `address`.
pub fn build(address: SocketAddr) -> crate::Result<SpanExporter> {
    SpanExporter::builder()
        .with_http()
        .with_http_client(Hyper::new())
        .with_endpoint(format!("http://{address}/v1/traces"))
        .with_timeout(TIMEOUT)
        .build()
        .map_err(|error| crate::Error::Traces(error.to_string()))
}

/// Carries requests on the runtime it was made in, whatever thread asks.
#[derive(Clone, Debug)]
struct Hyper {
    client: Client<HttpConnector, Full<Bytes>>,
    runtime: Handle,
}

impl Hyper {
    fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            runtime: Handle::current(),
        }
    }
}

#[async_trait]
impl HttpClient for Hyper {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let exchange = exchange(self.client.clone(), request);
        self.runtime
            .spawn(async { tokio::time::timeout(TIMEOUT, exchange).await })
            .await??
    }
}

async fn exchange(
    client: Client<HttpConnector, Full<Bytes>>,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, HttpError> {
    let (head, body) = client.request(request.map(Full::new)).await?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
    Ok(Response::from_parts(head, body.to_bytes()))
}
