//! The life cycle of one call.

mod refusal;

pub use refusal::Reason;
