//! The life cycle of one call.
//!
//! [`Call`] is a typestate: `Received`, `Routed`, `Admitted`, `Dispatched`,
//! `Answered`. A [`NotRun`] can be made from the first three only, because the
//! step to `Dispatched` is taken before the first byte can reach the backend
//! server. After it, a [`NotRun`] needs a proof: either the request came back
//! unsent ([`Unsent`]) or the backend server itself said so ([`Shed`]).
//! Everything else is [`Unknown`].
//!
//! [`Admission`] is the asynchronous face of the pure [`gate::Gate`]: an
//! arrival gives a [`Permit`] that ends exactly once.
//!
//! [`gate::Gate`]: crate::gate::Gate

mod admission;
mod body;
pub mod claim;
mod context;
mod cycle;
pub(crate) mod hop;
mod observer;
mod recording;
mod story;
#[cfg(test)]
mod tests;
mod trace;

pub use admission::{Admission, Permit, Waiting};
pub use body::{Body, Cut};
pub use context::{Context, MAX_HOPS, region_names};
pub use cycle::{
    Admitted, Answered, Call, Dispatched, Loss, NotRun, Received, Routed, Shed, Unknown, Unsent,
};
pub use observer::{Decision, Duty, End, Event, Ignore, Observer, Span, Try};
pub use recording::Recording;
pub use story::{Story, Turn, request_name};
pub use trace::{Ids, Trace};

pub use crate::membership::{FixedSnapshotSource, SnapshotSource};
pub use crate::reason::Reason;
