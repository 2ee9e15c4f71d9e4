//! Calls of the stand-ins' own endpoints.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Calls stand-ins, a connection each time.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { http }
    }
}

impl Client {
    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer with one.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> io::Result<T> {
        let body = self.call("GET", address, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(io::Error::from)
    }

    /// Sends a JSON document.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not accept it.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> io::Result<()> {
        let body = serde_json::to_vec(message)?;
        self.call("POST", address, path, Bytes::from(body)).await?;
        Ok(())
    }

    async fn call(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> io::Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(io::Error::other)?;
        let response = self.http.request(request).await.map_err(io::Error::other)?;
        let status = response.status();
        if !status.is_success() {
            return Err(io::Error::other(format!(
                "{address}{path} answered {status}"
            )));
        }
        let body = response.into_body().collect().await;
        Ok(body.map_err(io::Error::other)?.to_bytes())
    }
}
