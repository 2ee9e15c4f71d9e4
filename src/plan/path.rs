//! Request paths in normal form, so that one resource has one route.
//!
//! A backend server takes `/orders/../payments` and `/%70ayments` for
//! `/payments`. Were they matched as written, such a request would escape the
//! home regions of its route.

use std::borrow::Cow;

/// The path of a request target in normal form (RFC 3986, 6.2.2): without
/// query, dot segments, empty segments and needless percent-encoding.
#[must_use]
pub fn normal(target: &str) -> Cow<'_, str> {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    if is_normal(path) {
        return Cow::Borrowed(path);
    }
    Cow::Owned(without_dots(&decode_unreserved(path)))
}

fn is_normal(path: &str) -> bool {
    let bytes = path.as_bytes();
    let pairs = bytes.windows(2);
    !bytes.contains(&b'%') && !pairs.into_iter().any(|pair| matches!(pair, b"//" | b"/."))
}

/// Decodes percent-encoded characters that need no encoding.
fn decode_unreserved(path: &str) -> String {
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(at) = rest.find('%') {
        decoded.push_str(&rest[..at]);
        let tail = &rest[at + 1..];
        if let Some(character) = tail.get(..2).and_then(unreserved) {
            decoded.push(character);
            rest = &tail[2..];
        } else {
            decoded.push('%');
            rest = tail;
        }
    }
    decoded.push_str(rest);
    decoded
}

fn unreserved(hex: &str) -> Option<char> {
    if !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let byte = u8::from_str_radix(hex, 16).ok()?;
    let allowed = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    allowed.then_some(char::from(byte))
}

fn without_dots(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            _ => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}
