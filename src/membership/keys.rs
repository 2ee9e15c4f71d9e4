//! Keys in the store.

/// Start of every key that membership follows.
pub(super) const KEY_PREFIX: &str = "/monsooncove/";
/// Start of the keys of instances.
pub const INSTANCE_PREFIX: &str = "/monsooncove/instance/";
