//! Finds complete requests in the bytes of a connection.
//!
//! The result decides only which calls are started ahead. It must not take a part of a body for a
//! request, so the scanner stops for good at the first request whose end is not certain.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};

/// Header fields of a request that is scanned; hyper accepts no more by default.
const MAX_HEADERS: usize = 100;

/// Scanner of one connection.
#[derive(Debug)]
pub(super) struct Scanner {
    /// Bytes of a head that has not arrived whole.
    pending: Vec<u8>,
    max_head_bytes: usize,
    /// Bytes of a body that are still to come.
    body_left: u64,
    /// Whether the end of the last request is not certain.
    is_blind: bool,
    /// Requests found so far.
    found: u64,
}

/// What follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// The next request.
    Nothing,
    /// A body of this length.
    Body(u64),
    /// Something that the scanner does not follow.
    Unknown,
}

impl Scanner {
    pub(super) const fn new(max_head_bytes: usize) -> Self {
        Self {
            pending: Vec::new(),
            max_head_bytes,
            body_left: 0,
            is_blind: false,
            found: 0,
        }
    }

    /// Scans further bytes. Passes each request without a body that may be started ahead to
    /// `visit`, with its number on the connection; a visitor that returns false ends the scan for
    /// good.
    pub(super) fn push(&mut self, bytes: &[u8], mut visit: impl FnMut(u64, &Head<'_, '_>) -> bool) {
        let mut bytes = bytes;
        while !self.is_blind && !bytes.is_empty() {
            bytes = self.skip_body(bytes);
            if self.pending.is_empty() {
                let used = self.scan(bytes, &mut visit);
                self.pending.extend_from_slice(&bytes[used..]);
            } else if !bytes.is_empty() {
                self.pending.extend_from_slice(bytes);
                let pending = std::mem::take(&mut self.pending);
                let used = self.scan(&pending, &mut visit);
                self.pending.extend_from_slice(&pending[used..]);
            }
            bytes = &[];
        }
        if self.is_blind || self.pending.len() > self.max_head_bytes {
            self.is_blind = true;
            self.pending = Vec::new();
        }
    }

    /// Scans whole requests at the front of `bytes`; returns how many bytes they take.
    fn scan(&mut self, bytes: &[u8], visit: &mut impl FnMut(u64, &Head<'_, '_>) -> bool) -> usize {
        let mut used = 0;
        while !self.is_blind && used < bytes.len() {
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut fields);
            let length = match request.parse(&bytes[used..]) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) => break,
                Err(_) => {
                    self.is_blind = true;
                    break;
                }
            };
            used += length;
            let head = Head(&request);
            let index = self.found;
            self.found += 1;
            match head.rest() {
                Rest::Nothing if head.is_retrieval() => self.is_blind = !visit(index, &head),
                Rest::Nothing => {}
                Rest::Body(body_length) => {
                    self.body_left = body_length;
                    let left = self.skip_body(&bytes[used..]).len();
                    used = bytes.len() - left;
                }
                Rest::Unknown => self.is_blind = true,
            }
        }
        used
    }

    /// Returns the bytes behind the body in progress.
    fn skip_body<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let skipped =
            usize::try_from(self.body_left).map_or(bytes.len(), |left| left.min(bytes.len()));
        self.body_left -= skipped as u64;
        &bytes[skipped..]
    }
}

/// A complete head.
pub(super) struct Head<'a, 'b>(&'a httparse::Request<'a, 'b>);

impl Head<'_, '_> {
    /// Method, target and header fields; `None` if they cannot be used.
    pub(super) fn to_parts(&self) -> Option<Parts> {
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.method = Method::from_bytes(self.0.method?.as_bytes()).ok()?;
        parts.uri = Uri::try_from(self.0.path?).ok()?;
        parts.headers = HeaderMap::with_capacity(self.0.headers.len());
        for field in self.0.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(field.value).ok()?;
            parts.headers.append(name, value);
        }
        Some(parts)
    }

    fn is_retrieval(&self) -> bool {
        matches!(self.0.method, Some("GET" | "HEAD"))
    }

    fn rest(&self) -> Rest {
        if self.0.version != Some(1) {
            return Rest::Unknown;
        }
        let mut rest = Rest::Nothing;
        for field in self.0.headers.iter() {
            let is = |name: &HeaderName| field.name.eq_ignore_ascii_case(name.as_str());
            if is(&header::CONTENT_LENGTH) {
                let length = std::str::from_utf8(field.value).ok();
                let digits = length.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
                rest = match (rest, digits.and_then(|text| text.parse().ok())) {
                    (Rest::Nothing, Some(length)) => Rest::Body(length),
                    _ => return Rest::Unknown,
                };
            } else if is(&header::TRANSFER_ENCODING)
                || is(&header::CONNECTION)
                || is(&header::UPGRADE)
                || is(&header::EXPECT)
            {
                return Rest::Unknown;
            }
        }
        rest
    }
}
