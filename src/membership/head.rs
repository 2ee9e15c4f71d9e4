//! The accepted sheet as the store keeps it.

use serde::{Deserialize, Serialize};

use crate::plan::Version;

/// Start of every key of the system.
pub const ROOT: &str = "/monsooncove/";
/// Key of the accepted sheet.
pub const HEAD_KEY: &str = "/monsooncove/plan/head";
/// Start of the keys of instances.
pub const INSTANCE_PREFIX: &str = "/monsooncove/instance/";

/// Value of [`HEAD_KEY`]. A large text is kept in parts under keys of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the accepted sheet.
    pub version: Version,
    /// Digest that its writer gave it.
    pub digest: u64,
    /// The text, unless it is kept in parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Keys whose values make up the text, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
}
