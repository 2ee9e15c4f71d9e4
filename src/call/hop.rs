//! Header fields that end at this hop (RFC 9110, 7.6.1).

use http::{HeaderMap, HeaderName, HeaderValue, header};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const TRAILERS: HeaderValue = HeaderValue::from_static("trailers");

const HOP_BY_HOP_FIELDS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
];

/// Host that a request names, without its port.
pub(crate) fn host(headers: &HeaderMap) -> Option<&str> {
    let field = headers.get(header::HOST)?.to_str().ok()?;
    field.split(':').next()
}

/// Removes the fields of this hop and those that `Connection` names. Keeps the
/// wish for trailers, which every hop here can fulfil.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let wants_trailers = wants_trailers(headers);
    if headers.contains_key(header::CONNECTION) {
        for name in fields_named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP_FIELDS {
        headers.remove(name);
    }
    if wants_trailers {
        headers.insert(header::TE, TRAILERS);
    }
}

fn wants_trailers(headers: &HeaderMap) -> bool {
    headers.get_all(header::TE).iter().any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|coding| coding.trim().eq_ignore_ascii_case("trailers"))
    })
}

/// Framing and addressing stay, whatever `Connection` says of them.
fn fields_named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| !matches!(*name, header::CONTENT_LENGTH | header::HOST))
        .filter(|name| !name.as_str().starts_with("monsooncove-"))
        .collect()
}
