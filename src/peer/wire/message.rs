//! Messages and the order of their fields.
//!
//! The position of a field is its identity on the wire: new fields may only be added at the end.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeSeq, Serializer};

use crate::call::claim::{ClaimAction, ClaimStatus};
use crate::call::{Loss, Reason};
use crate::gate::LoadReport;
use crate::plan::Version;

use super::field::{ReadField, WriteField};

/// Head of a request, sent by the entry to start a call at a gate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of the call, chosen by the entry and repeated in the reply.
    pub call: u64,
    /// Plan version by which the entry chose the gate.
    pub plan: Version,
    /// Requested service.
    pub service: String,
    /// Tenant of the call; empty for none.
    pub tenant: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// End-to-end headers of the request.
    pub headers: HeaderMap,
    /// Time until the deadline, measured when the message was sent.
    pub time_left: Duration,
    /// Number of nodes that the call has entered so far; limited to break routing loops.
    pub hops: u32,
    /// Regions in which the call must stay; empty for any.
    pub regions: Vec<String>,
    /// Whether the request has no body.
    pub bodiless: bool,
    /// Time until the latency objective, within which the response has its full worth; zero if the
    /// plan sets none.
    pub objective_left: Duration,
    /// Queue time after which the gate returns the call to the entry; zero for no limit.
    pub queue_timeout: Duration,
    /// Digest of the caller's API key; empty for none.
    pub api_key: Bytes,
}

/// Request to withdraw a call that is still queued.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recall {
    /// Id of the call.
    pub call: u64,
}

/// Head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the call.
    pub call: u64,
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers of the response.
    pub headers: HeaderMap,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Plan version of the gate.
    pub plan: Version,
}

/// Refusal: the call did not run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refused {
    /// Id of the call.
    pub call: u64,
    /// Reason of the refusal; `None` if this version does not know the sender's reason.
    pub reason: Option<Reason>,
    /// Load of the backend server.
    pub load: LoadReport,
    /// Plan version by which the gate refused.
    pub plan: Version,
}

/// Failure: the outcome of the call is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Failed {
    /// Id of the call.
    pub call: u64,
    /// How the outcome was lost.
    pub loss: Option<Loss>,
    /// Load report of the backend server.
    pub load: LoadReport,
}

/// Trailers of a body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trailers {
    /// The trailer fields.
    pub headers: HeaderMap,
}

/// Request to query or claim an idempotency key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimRequestMessage {
    /// Id of the requesting call.
    pub call: u64,
    /// Upper half of the key's digest.
    pub digest_high: u64,
    /// Lower half of the key's digest.
    pub digest_low: u64,
    /// Regions that may hold the claim; empty for any.
    pub regions: Vec<String>,
    /// Action on the key.
    pub intent: ClaimAction,
    /// Retention time of a claim.
    pub keep: Duration,
}

/// Reply to a [`ClaimRequestMessage`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClaimResponseMessage {
    /// Id of the requesting call.
    pub call: u64,
    /// Status of the key at the replying node.
    pub verdict: ClaimStatus,
}

/// Plan records that a node knows, for gossip.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanRecords {
    /// Plan version that results from the records.
    pub version: Version,
    /// The records as JSON, as earlier versions send them; empty if there are none.
    pub records: String,
    /// The records as compressed JSON; empty if the other node needs none.
    pub packed_records: Bytes,
    /// Store revision up to which the sender knows the roster; zero if it asks for none.
    pub roster_revision: u64,
    /// Changes of the roster as compressed JSON; empty if there are none.
    pub packed_roster: Bytes,
}

/// How much a node knows, pushed to its subscribers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProgressMessage {
    /// Version of its plan records.
    pub plan: Version,
    /// Store revision up to which it knows the roster.
    pub roster_revision: u64,
    /// Its distance to the store.
    pub distance: u32,
}

/// Departures that a node acknowledged, told to a witness or by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeparturesMessage {
    /// The node that acknowledged them.
    pub instance: String,
    /// The processes that left, as compressed JSON; empty if there are none.
    pub packed_processes: Bytes,
    /// Time for which the sender has run.
    pub uptime: Duration,
}

/// A report to a coordinator, or its directives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoordinationMessage {
    /// The report or the directives as JSON, so that fields can be added.
    pub json: Bytes,
}

/// Load report pushed to a subscribed entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadUpdateMessage {
    /// Load of the backend server.
    pub load: LoadReport,
    /// Plan version of the gate.
    pub plan: Version,
}

/// Implements serde for a message as a list of its fields, with their number in front. Missing
/// fields take their default when a message is read.
macro_rules! counted_fields {
    ($message:ident, $count:literal: $($field:ident),+) => {
        impl Serialize for $message {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let mut fields = serializer.serialize_seq(Some($count))?;
                $(fields.serialize_element(&WriteField(&self.$field))?;)+
                fields.end()
            }
        }

        impl<'de> Deserialize<'de> for $message {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct FieldsVisitor;

                impl<'de> Visitor<'de> for FieldsVisitor {
                    type Value = $message;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("the fields of message ", stringify!($message)))
                    }

                    fn visit_seq<A: SeqAccess<'de>>(
                        self,
                        mut fields: A,
                    ) -> Result<Self::Value, A::Error> {
                        let mut message = $message::default();
                        $(
                            match fields.next_element()? {
                                Some(ReadField(value)) => message.$field = value,
                                None => return Ok(message),
                            }
                        )+
                        Ok(message)
                    }
                }

                deserializer.deserialize_seq(FieldsVisitor)
            }
        }
    };
}

counted_fields!(RequestHead, 14: call, plan, service, tenant, method, path, headers, time_left, hops,
    regions, bodiless, objective_left, queue_timeout, api_key);
counted_fields!(ResponseHead, 5: call, status, headers, load, plan);
counted_fields!(Refused, 4: call, reason, load, plan);
counted_fields!(Failed, 3: call, loss, load);
counted_fields!(Trailers, 1: headers);
counted_fields!(Recall, 1: call);
counted_fields!(ClaimRequestMessage, 6: call, digest_high, digest_low, regions, intent, keep);
counted_fields!(ClaimResponseMessage, 2: call, verdict);
counted_fields!(PlanRecords, 5: version, records, packed_records, roster_revision, packed_roster);
counted_fields!(ProgressMessage, 3: plan, roster_revision, distance);
counted_fields!(DeparturesMessage, 3: instance, packed_processes, uptime);
counted_fields!(CoordinationMessage, 1: json);
counted_fields!(LoadUpdateMessage, 2: load, plan);
