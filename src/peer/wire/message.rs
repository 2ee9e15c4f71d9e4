//! Messages and their counted fields.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeSeq, Serializer};

use crate::call::claim::{Intent, Verdict};
use crate::call::{Loss, Reason};
use crate::gate::LoadReport;
use crate::plan::Version;

use super::field::{ReadField, WriteField};

/// Head of a request on its way to a gate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Chosen by the entry, repeated in the answer.
    pub call: u64,
    /// Plan by which the entry chose.
    pub plan: Version,
    /// Service asked for.
    pub service: String,
    /// Tenant on whose behalf; empty for none.
    pub tenant: String,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Time left when it was sent.
    pub time_left: Duration,
    /// Nodes entered so far.
    pub hops: u32,
    /// Regions the call must stay in; empty for any.
    pub regions: Vec<String>,
    /// Whether no body follows.
    pub bodiless: bool,
    /// Time left in which the answer has its full worth; zero when the plan does
    /// not say.
    pub objective_left: Duration,
    /// Time within which its turn must come, or the entry wants it back; zero
    /// when it may wait as long as it likes.
    pub queue_timeout: Duration,
}

/// Withdraws a call that is still queued.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recall {
    /// Call to withdraw.
    pub call: u64,
}

/// Head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Call that is answered.
    pub call: u64,
    /// Status of the answer.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Load report of the backend server.
    pub load: LoadReport,
    /// Plan of the gate.
    pub plan: Version,
}

/// The call was not run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Refused {
    /// Call that is refused.
    pub call: u64,
    /// Why; none when the sender's reason is unknown to this version.
    pub reason: Option<Reason>,
    /// Load report of the backend server.
    pub load: LoadReport,
    /// Plan by which the gate refused.
    pub plan: Version,
}

/// The outcome is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Failed {
    /// Call that failed.
    pub call: u64,
    /// How the outcome was lost.
    pub loss: Option<Loss>,
    /// Load report of the backend server.
    pub load: LoadReport,
}

/// Trailers of a body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trailers {
    /// The fields.
    pub headers: HeaderMap,
}

/// A question about an idempotency key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimRequestMessage {
    /// Call that asks.
    pub call: u64,
    /// Upper half of the key's digest.
    pub digest_high: u64,
    /// Lower half of the key's digest.
    pub digest_low: u64,
    /// Regions that may hold it; empty for any.
    pub regions: Vec<String>,
    /// What to do.
    pub intent: Intent,
    /// Time for which to keep a claim.
    pub keep: Duration,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClaimResponseMessage {
    /// Call that asked.
    pub call: u64,
    /// What the node says of the key.
    pub verdict: Verdict,
}

/// What a node knows of the operators' records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanRecords {
    /// Version that the records make.
    pub version: Version,
    /// The records in JSON; empty when the other node needs none.
    pub records: String,
}

/// The load of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadUpdateMessage {
    /// Load report of the backend server.
    pub load: LoadReport,
    /// Plan of the gate.
    pub plan: Version,
}

/// Writes a message as a counted list and reads it back by a visitor that
/// defaults what is missing.
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
                        f.write_str(concat!("the fields of ", stringify!($message)))
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

counted_fields!(RequestHead, 13: call, plan, service, tenant, method, path, headers, time_left, hops,
    regions, bodiless, objective_left, queue_timeout);
counted_fields!(ResponseHead, 5: call, status, headers, load, plan);
counted_fields!(Refused, 4: call, reason, load, plan);
counted_fields!(Failed, 3: call, loss, load);
counted_fields!(Trailers, 1: headers);
counted_fields!(Recall, 1: call);
counted_fields!(ClaimRequestMessage, 6: call, digest_high, digest_low, regions, intent, keep);
counted_fields!(ClaimResponseMessage, 2: call, verdict);
counted_fields!(PlanRecords, 2: version, records);
counted_fields!(LoadUpdateMessage, 2: load, plan);
