//! The protocol that docs/STORE.md describes: posted JSON.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{Outcome, protocol};

use super::protocol::{Answer, Call, Failure, Page, Protocol, refused};

/// Posted JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct Json;

impl Protocol for Json {
    fn request(&self, call: &Call<'_>) -> Result<Request<Bytes>, Failure> {
        match call {
            Call::Get { key } => {
                let key = (*key).to_owned();
                post(protocol::GET, &protocol::Get { key })
            }
            Call::List { prefix, .. } => {
                let prefix = (*prefix).to_owned();
                post(protocol::LIST, &protocol::List { prefix })
            }
            Call::Write(write) => post(protocol::WRITE, write),
            Call::Grant { ttl } => {
                let ttl_ms = millis(*ttl);
                post(protocol::GRANT, &protocol::Grant { ttl_ms })
            }
            Call::Renew { lease } => post(protocol::RENEW, &protocol::Renew { lease: *lease }),
            Call::Revoke { lease } => post(protocol::REVOKE, &protocol::Revoke { lease: *lease }),
            Call::Watch {
                prefix,
                after,
                wait,
            } => {
                let watch = protocol::Watch {
                    prefix: (*prefix).to_owned(),
                    after: *after,
                    wait_ms: millis(*wait),
                };
                post(protocol::WATCH, &watch)
            }
        }
    }

    fn answer(&self, call: &Call<'_>, status: StatusCode, body: &Bytes) -> Result<Answer, Failure> {
        match status {
            StatusCode::OK => read(call, body),
            StatusCode::TOO_MANY_REQUESTS => Err(Failure::NoEffect(refused(&status))),
            _ if status.is_client_error() => Err(Failure::Final(refused(&status))),
            _ => Err(Failure::Unknown(refused(&status))),
        }
    }
}

fn post<Q: Serialize>(path: &'static str, question: &Q) -> Result<Request<Bytes>, Failure> {
    let body = serde_json::to_vec(question).map_err(|error| Failure::Final(refused(&error)))?;
    Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .map_err(|error| Failure::Final(refused(&error)))
}

fn read(call: &Call<'_>, body: &[u8]) -> Result<Answer, Failure> {
    Ok(match call {
        Call::Get { .. } => Answer::Record(decode::<protocol::Got>(body)?.record),
        Call::List { .. } => Answer::Page(Page {
            listing: decode(body)?,
            next: None,
        }),
        Call::Write(_) => Answer::Written(match decode(body)? {
            protocol::Written::Applied(revision) => Outcome::Applied(revision),
            protocol::Written::NotApplied(record) => Outcome::NotApplied(record),
        }),
        Call::Grant { .. } => Answer::Granted(decode(body)?),
        Call::Renew { .. } => Answer::Renewed(decode::<protocol::Renewed>(body)?.alive),
        Call::Revoke { .. } => {
            decode::<()>(body)?;
            Answer::Revoked
        }
        Call::Watch { .. } => Answer::Watched(decode(body)?),
    })
}

fn decode<A: DeserializeOwned>(answer: &[u8]) -> Result<A, Failure> {
    serde_json::from_slice(answer).map_err(|error| Failure::Unknown(refused(&error)))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
