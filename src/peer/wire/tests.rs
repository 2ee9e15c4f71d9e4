use std::fmt::Write as _;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    ClaimRequestMessage, ClaimResponseMessage, Decoder, Encoder, Failed, HEADER_BYTES,
    MAX_BODY_BYTES, MAX_MESSAGE_BYTES, Malformed, RawFrame, Recall, Refused, RequestHead,
    ResponseHead, Trailers, decode_message, kind,
};
use crate::call::claim::{ClaimAction, ClaimStatus};
use crate::call::{Loss, Reason};
use crate::gate::LoadReport;
use crate::plan::Version;

fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("desk"));
    headers.append("x-crate", HeaderValue::from_static("1"));
    headers.append("x-crate", HeaderValue::from_static("2"));
    headers
}

const LOAD: LoadReport = LoadReport {
    in_hand: 3,
    queued: 2,
    limit: 9,
    service_time: Duration::from_micros(1500),
    accepting: true,
    delay: Duration::from_micros(900),
};

fn request_head() -> RequestHead {
    RequestHead {
        call: 77,
        plan: Version(4),
        service: "desk".into(),
        tenant: "mill".into(),
        method: Method::POST,
        path: "/orders?day=3".into(),
        headers: headers(),
        time_left: Duration::from_millis(250),
        hops: 2,
        regions: vec!["north".into(), "south".into()],
        bodiless: false,
        objective_left: Duration::from_millis(300),
        queue_timeout: Duration::from_millis(40),
        api_key: Bytes::from_static(b"digest"),
    }
}

fn response_head() -> ResponseHead {
    ResponseHead {
        call: 77,
        status: StatusCode::CREATED,
        headers: headers(),
        load: LOAD,
        plan: Version(7),
    }
}

const REFUSED: Refused = Refused {
    call: 77,
    reason: Some(Reason::ZoneOut),
    load: LOAD,
    plan: Version(5),
};

const FAILED: Failed = Failed {
    call: 77,
    loss: Some(Loss::BackendServer),
    load: LOAD,
};

fn claim_request() -> ClaimRequestMessage {
    ClaimRequestMessage {
        call: 77,
        digest_high: 5,
        digest_low: u64::MAX,
        regions: vec!["north".into()],
        intent: ClaimAction::Claim,
        keep: Duration::from_mins(10),
    }
}

const RECALL: Recall = Recall { call: 77 };

const CLAIM_RESPONSE: ClaimResponseMessage = ClaimResponseMessage {
    call: 77,
    verdict: ClaimStatus::Held,
};

fn trailers() -> Trailers {
    Trailers { headers: headers() }
}

fn frame<M: Serialize>(kind: u8, message: &M) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.push_message(kind, message).expect("short enough");
    encoder.take()
}

fn bare(kind: u8) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.push_empty(kind);
    encoder.take()
}

fn body(part: &[u8]) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.push_body(part);
    encoder.take()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        for byte in line {
            write!(text, "{byte:02x} ").expect("memory");
        }
        text.push('\n');
    }
    text
}

fn decode_frame(bytes: Bytes) -> (u8, Bytes) {
    let mut decoder = Decoder::default();
    decoder.push(bytes);
    match decoder.next_frame() {
        Ok(Some(RawFrame::Message(kind, payload))) => (kind, payload),
        other => panic!("no message: {other:?}"),
    }
}

/// Encodes and decodes a message and compares the result.
fn round_trips<M>(kind: u8, message: &M)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let (decoded_kind, payload) = decode_frame(frame(kind, message));
    assert_eq!(decoded_kind, kind);
    assert_eq!(decode_message::<M>(kind, &payload).as_ref(), Ok(message));
}

/// A message from a later version, with one more field, must still be readable.
fn ignores_added_field<M>(kind: u8, message: &M, fields: u8)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let (_, payload) = decode_frame(frame(kind, message));
    let mut extended = payload.to_vec();
    assert_eq!(extended[0], fields, "the count of fields comes first");
    extended[0] += 1;
    extended.extend_from_slice(b"\x05later");
    assert_eq!(decode_message::<M>(kind, &extended).as_ref(), Ok(message));
}

/// A message from an earlier version, with fewer fields, takes defaults for the rest.
fn defaults_fields_missing_from_earlier_version() {
    let (_, payload) = decode_frame(frame(kind::REFUSED, &REFUSED));
    let mut truncated = payload.to_vec();
    truncated[0] = 2;
    let expected = Refused {
        load: LoadReport::default(),
        plan: Version::default(),
        ..REFUSED
    };
    assert_eq!(
        decode_message::<Refused>(kind::REFUSED, &truncated),
        Ok(expected)
    );
}

fn ignores_added_load_numbers() {
    let (_, payload) = decode_frame(frame(kind::FAILED, &FAILED));
    let mut extended = payload.to_vec();
    let count = extended.len() - 11;
    assert_eq!(extended[count], 6, "the count of numbers");
    extended[count] = 7;
    extended.push(9);
    assert_eq!(
        decode_message::<Failed>(kind::FAILED, &extended),
        Ok(FAILED)
    );
}

/// A too long frame must be rejected by its header, before its payload is buffered.
fn rejects_announced_length(kind: u8, bytes: usize) {
    let mut header = u32::try_from(bytes).expect("short").to_be_bytes().to_vec();
    header.extend_from_slice(&[1, kind]);
    let mut decoder = Decoder::default();
    decoder.push(header.into());
    assert_eq!(decoder.next_frame(), Err(Malformed::TooLong { bytes }));
}

fn rejects_message_over_limit() {
    let request_head = RequestHead {
        path: "x".repeat(MAX_MESSAGE_BYTES + 1),
        ..request_head()
    };
    let mut encoder = Encoder::default();
    let refused = encoder.push_message(kind::REQUEST_HEAD, &request_head);
    assert!(matches!(refused, Err(Malformed::TooLong { .. })));
    assert!(encoder.is_empty());
}

fn rejects_too_many_header_fields() {
    let mut headers = HeaderMap::new();
    for _ in 0..300 {
        headers.append("x-many", HeaderValue::from_static("1"));
    }
    let (kind, payload) = decode_frame(frame(kind::TRAILERS, &Trailers { headers }));
    assert_eq!(
        decode_message::<Trailers>(kind, &payload),
        Err(Malformed::Message { kind })
    );
}

/// All frames of a call, concatenated.
fn call_frames() -> Vec<u8> {
    let frames = [
        frame(kind::REQUEST_HEAD, &request_head()),
        body(b"eggs"),
        body(b""),
        body(&[7; 300]),
        frame(kind::TRAILERS, &trailers()),
        bare(kind::END),
    ];
    frames.concat()
}

/// Decodes chunks; returns the kinds of the messages and the joined body.
fn decode_chunks(chunks: &[&[u8]]) -> (Vec<u8>, Vec<u8>) {
    let mut decoder = Decoder::default();
    let (mut kinds, mut body) = (Vec::new(), Vec::new());
    for chunk in chunks {
        decoder.push(Bytes::copy_from_slice(chunk));
        while let Some(raw) = decoder.next_frame().expect("well formed") {
            match raw {
                RawFrame::Body(part) => body.extend_from_slice(&part),
                RawFrame::Message(kind, _) => kinds.push(kind),
            }
        }
    }
    assert!(!decoder.has_partial_frame());
    (kinds, body)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn frames_do_not_depend_on_chunk_boundaries(mut boundaries in prop::collection::vec(0usize..500, 0..8)) {
        let call_frames = call_frames();
        boundaries.sort_unstable();
        let mut chunks = Vec::new();
        let mut start = 0;
        for boundary in boundaries {
            let end = boundary.clamp(start, call_frames.len());
            chunks.push(&call_frames[start..end]);
            start = end;
        }
        chunks.push(&call_frames[start..]);
        let (kinds, body) = decode_chunks(&chunks);
        prop_assert_eq!(kinds, vec![kind::REQUEST_HEAD, kind::TRAILERS, kind::END]);
        prop_assert_eq!(body.len(), 304);
    }

    #[test]
    fn arbitrary_bytes_yield_no_more_bytes_than_pushed(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..16)
    ) {
        let mut decoder = Decoder::default();
        let mut pushed_bytes = 0;
        let mut decoded_bytes = 0;
        'chunks: for chunk in chunks {
            pushed_bytes += chunk.len();
            decoder.push(chunk.into());
            loop {
                match decoder.next_frame() {
                    Ok(Some(RawFrame::Body(part))) => decoded_bytes += part.len(),
                    Ok(Some(RawFrame::Message(_, payload))) => decoded_bytes += payload.len(),
                    Ok(None) => break,
                    Err(_) => break 'chunks,
                }
            }
        }
        prop_assert!(decoded_bytes <= pushed_bytes);
    }

    #[test]
    fn arbitrary_payload_does_not_panic(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        // Guards against a panic or an unbounded allocation on bytes from the network.
        let _ = decode_message::<RequestHead>(kind::REQUEST_HEAD, &payload);
        let _ = decode_message::<ResponseHead>(kind::RESPONSE_HEAD, &payload);
        let _ = decode_message::<Refused>(kind::REFUSED, &payload);
        let _ = decode_message::<Failed>(kind::FAILED, &payload);
        let _ = decode_message::<ClaimRequestMessage>(kind::CLAIM_REQUEST, &payload);
        let _ = decode_message::<ClaimResponseMessage>(kind::CLAIM_RESPONSE, &payload);
        let _ = decode_message::<Recall>(kind::RECALL, &payload);
        let _ = decode_message::<Trailers>(kind::TRAILERS, &payload);
    }

    #[test]
    fn flipped_byte_does_not_exceed_header_limit(at in 0usize..200, flip in 1u8..) {
        let (_, payload) = decode_frame(frame(kind::REQUEST_HEAD, &request_head()));
        let mut payload = payload.to_vec();
        let at = at % payload.len();
        payload[at] ^= flip;
        if let Ok(decoded) = decode_message::<RequestHead>(kind::REQUEST_HEAD, &payload) {
            prop_assert!(decoded.headers.len() <= 256);
        }
    }
}

cases! {
    request_head_round_trips: round_trips(kind::REQUEST_HEAD, &request_head());
    response_head_round_trips: round_trips(kind::RESPONSE_HEAD, &response_head());
    refused_round_trips: round_trips(kind::REFUSED, &REFUSED);
    failed_round_trips: round_trips(kind::FAILED, &FAILED);
    trailers_round_trip: round_trips(kind::TRAILERS, &trailers());
    request_head_ignores_added_field: ignores_added_field(kind::REQUEST_HEAD, &request_head(), 14);
    response_head_ignores_added_field: ignores_added_field(kind::RESPONSE_HEAD, &response_head(), 5);
    refused_ignores_added_field: ignores_added_field(kind::REFUSED, &REFUSED, 4);
    failed_ignores_added_field: ignores_added_field(kind::FAILED, &FAILED, 3);
    trailers_ignore_added_field: ignores_added_field(kind::TRAILERS, &trailers(), 1);
    recall_round_trips: round_trips(kind::RECALL, &RECALL);
    claim_query_round_trips: round_trips(kind::CLAIM_REQUEST, &claim_request());
    claim_reply_round_trips: round_trips(kind::CLAIM_RESPONSE, &CLAIM_RESPONSE);
    claim_query_ignores_added_field: ignores_added_field(kind::CLAIM_REQUEST, &claim_request(), 6);
    claim_reply_ignores_added_field: ignores_added_field(kind::CLAIM_RESPONSE, &CLAIM_RESPONSE, 2);
    load_ignores_added_numbers: ignores_added_load_numbers();
    missing_fields_take_their_default: defaults_fields_missing_from_earlier_version();
    too_long_message_is_rejected_by_its_header: rejects_announced_length(kind::REQUEST_HEAD, MAX_MESSAGE_BYTES + 1);
    too_long_body_is_rejected_by_its_header: rejects_announced_length(kind::BODY, MAX_BODY_BYTES + 1);
    too_long_message_is_not_encoded: rejects_message_over_limit();
    too_many_header_fields_are_rejected: rejects_too_many_header_fields();
    header_has_six_bytes: assert_eq!(bare(kind::END).len(), HEADER_BYTES);
    bytes_of_request_head: insta::assert_snapshot!(hex(&frame(kind::REQUEST_HEAD, &request_head())));
    bytes_of_body: insta::assert_snapshot!(hex(&body(b"eggs")));
    bytes_of_trailers: insta::assert_snapshot!(hex(&frame(kind::TRAILERS, &trailers())));
    bytes_of_end: insta::assert_snapshot!(hex(&bare(kind::END)));
    bytes_of_recall: insta::assert_snapshot!(hex(&frame(kind::RECALL, &RECALL)));
    bytes_of_admitted: insta::assert_snapshot!(hex(&bare(kind::ADMITTED)));
    bytes_of_refused: insta::assert_snapshot!(hex(&frame(kind::REFUSED, &REFUSED)));
    bytes_of_failed: insta::assert_snapshot!(hex(&frame(kind::FAILED, &FAILED)));
    bytes_of_claim_request: insta::assert_snapshot!(hex(&frame(kind::CLAIM_REQUEST, &claim_request())));
    bytes_of_claim_response: insta::assert_snapshot!(hex(&frame(kind::CLAIM_RESPONSE, &CLAIM_RESPONSE)));
    bytes_of_response_head: insta::assert_snapshot!(hex(&frame(kind::RESPONSE_HEAD, &response_head())));
}
