//! Small stand-ins for the outside world: store, backend server, caller and
//! network.
//!
//! The bench and the tests start them as processes of their own. They keep the
//! exact books against which the promises are checked, so that no check rests
//! on what the nodes say of themselves. The node and the sheet tool use none
//! of this.

pub mod backend;
pub mod caller;
pub mod payload;
pub mod store;
pub mod wire;
