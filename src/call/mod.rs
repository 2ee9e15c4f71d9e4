//! The life cycle of one call.
//!
//! [`Call`] is a typestate: `Received`, `Routed`, `Admitted`, `Dispatched`,
//! `Answered`. A [`NotRun`] can be made from the first three only, because the
//! step to `Dispatched` is taken before the first byte can reach the backend
//! server. After it, a [`NotRun`] needs a proof: either the request came back
//! unsent ([`UnsentProof`]) or the backend server itself said so ([`ShedProof`]).
//! Everything else is [`UnknownOutcome`].
//!
//! [`Admission`] is the asynchronous face of the pure [`gate::Gate`]: an
//! arrival gives a [`Permit`] that ends exactly once.
//!
//! [`gate::Gate`]: crate::gate::Gate

mod admission;
mod body;
pub mod claim;
mod context;
mod decision_recorder;
pub(crate) mod hop;
mod lifecycle;
mod observer;
mod span_recorder;
#[cfg(test)]
mod tests;
mod trace;

pub use admission::{Admission, PendingAdmission, Permit};
pub use body::{Body, BodyError};
pub use context::{Context, MAX_HOPS, region_names};
pub use decision_recorder::{AttemptIndex, DecisionRecorder, request_id};
pub use lifecycle::{
    Admitted, Answered, Call, Dispatched, Loss, NotRun, Received, Routed, ShedProof,
    UnknownOutcome, UnsentProof,
};
pub use observer::{
    AttemptRecord, CallOutcome, Decision, Event, NoopObserver, Observer, Role, Span,
};
pub use span_recorder::SpanRecorder;
pub use trace::{IdGenerator, Trace};

pub use crate::membership::{FixedSnapshotSource, SnapshotSource};
pub use crate::reason::Reason;
