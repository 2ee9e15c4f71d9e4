//! Admission to one backend server. Pure: given time and events, returns actions.

mod load;

pub use load::Load;
