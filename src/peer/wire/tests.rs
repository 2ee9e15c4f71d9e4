use std::fmt::Write as _;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{
    Claim, Claimed, Decoder, Encoder, Failed, HEADER_BYTES, Head, MAX_BODY_BYTES,
    MAX_MESSAGE_BYTES, Malformed, Open, Raw, Recall, Refused, Trailers, kind, read,
};
use crate::call::claim::{Intent, Verdict};
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

fn open() -> Open {
    Open {
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
        patience: Duration::from_millis(40),
    }
}

fn head() -> Head {
    Head {
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

fn claim() -> Claim {
    Claim {
        call: 77,
        digest_high: 5,
        digest_low: u64::MAX,
        regions: vec!["north".into()],
        intent: Intent::Claim,
        keep: Duration::from_mins(10),
    }
}

const RECALL: Recall = Recall { call: 77 };

const CLAIMED: Claimed = Claimed {
    call: 77,
    verdict: Verdict::Held,
};

fn trailers() -> Trailers {
    Trailers { headers: headers() }
}

fn frame<M: Serialize>(kind: u8, message: &M) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.message(kind, message).expect("short enough");
    encoder.take()
}

fn bare(kind: u8) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.bare(kind);
    encoder.take()
}

fn body(part: &[u8]) -> Bytes {
    let mut encoder = Encoder::default();
    encoder.body(part);
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

fn pull_message(bytes: Bytes) -> (u8, Bytes) {
    let mut decoder = Decoder::default();
    decoder.push(bytes);
    match decoder.pull() {
        Ok(Some(Raw::Message(kind, payload))) => (kind, payload),
        other => panic!("no message: {other:?}"),
    }
}

fn survives<M>(kind: u8, message: &M)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let (read_kind, payload) = pull_message(frame(kind, message));
    assert_eq!(read_kind, kind);
    assert_eq!(read::<M>(kind, &payload).as_ref(), Ok(message));
}

/// The same message as a later version might send it: one field more.
fn skips_a_later_field<M>(kind: u8, message: &M, fields: u8)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let (_, payload) = pull_message(frame(kind, message));
    let mut later = payload.to_vec();
    assert_eq!(later[0], fields, "the count of fields comes first");
    later[0] += 1;
    later.extend_from_slice(b"\x05later");
    assert_eq!(read::<M>(kind, &later).as_ref(), Ok(message));
}

fn defaults_what_an_earlier_version_lacks() {
    let (_, payload) = pull_message(frame(kind::REFUSED, &REFUSED));
    let mut earlier = payload.to_vec();
    earlier[0] = 2;
    let expected = Refused {
        load: LoadReport::default(),
        plan: Version::default(),
        ..REFUSED
    };
    assert_eq!(read::<Refused>(kind::REFUSED, &earlier), Ok(expected));
}

fn skips_later_numbers_of_a_load() {
    let (_, payload) = pull_message(frame(kind::FAILED, &FAILED));
    let mut later = payload.to_vec();
    let count = later.len() - 11;
    assert_eq!(later[count], 6, "the count of numbers");
    later[count] = 7;
    later.push(9);
    assert_eq!(read::<Failed>(kind::FAILED, &later), Ok(FAILED));
}

fn too_long(kind: u8, bytes: usize) {
    let mut header = u32::try_from(bytes).expect("short").to_be_bytes().to_vec();
    header.extend_from_slice(&[1, kind]);
    let mut decoder = Decoder::default();
    decoder.push(header.into());
    assert_eq!(decoder.pull(), Err(Malformed::TooLong { bytes }));
}

fn refuses_a_message_over_the_limit() {
    let open = Open {
        path: "x".repeat(MAX_MESSAGE_BYTES + 1),
        ..open()
    };
    let mut encoder = Encoder::default();
    let refused = encoder.message(kind::OPEN, &open);
    assert!(matches!(refused, Err(Malformed::TooLong { .. })));
    assert!(encoder.is_empty());
}

fn refuses_too_many_header_fields() {
    let mut headers = HeaderMap::new();
    for _ in 0..300 {
        headers.append("x-many", HeaderValue::from_static("1"));
    }
    let (kind, payload) = pull_message(frame(kind::TRAILERS, &Trailers { headers }));
    assert_eq!(
        read::<Trailers>(kind, &payload),
        Err(Malformed::Message { kind })
    );
}

/// All frames of a call, as one sequence of bytes.
fn session() -> Vec<u8> {
    let frames = [
        frame(kind::OPEN, &open()),
        body(b"eggs"),
        body(b""),
        body(&[7; 300]),
        frame(kind::TRAILERS, &trailers()),
        bare(kind::END),
    ];
    frames.concat()
}

/// What the session holds, however it was cut into chunks.
fn pull_all(chunks: &[&[u8]]) -> (Vec<u8>, Vec<u8>) {
    let mut decoder = Decoder::default();
    let (mut kinds, mut body) = (Vec::new(), Vec::new());
    for chunk in chunks {
        decoder.push(Bytes::copy_from_slice(chunk));
        while let Some(raw) = decoder.pull().expect("well formed") {
            match raw {
                Raw::Body(part) => body.extend_from_slice(&part),
                Raw::Message(kind, _) => kinds.push(kind),
            }
        }
    }
    assert!(!decoder.is_midway());
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
    fn any_cut_gives_the_same_frames(mut cuts in prop::collection::vec(0usize..500, 0..8)) {
        let session = session();
        cuts.sort_unstable();
        let mut chunks = Vec::new();
        let mut start = 0;
        for cut in cuts {
            let end = cut.clamp(start, session.len());
            chunks.push(&session[start..end]);
            start = end;
        }
        chunks.push(&session[start..]);
        let (kinds, body) = pull_all(&chunks);
        prop_assert_eq!(kinds, vec![kind::OPEN, kind::TRAILERS, kind::END]);
        prop_assert_eq!(body.len(), 304);
    }

    #[test]
    fn any_bytes_are_decoded_within_bounds(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..16)
    ) {
        let mut decoder = Decoder::default();
        let mut pushed = 0;
        let mut pulled = 0;
        'session: for chunk in chunks {
            pushed += chunk.len();
            decoder.push(chunk.into());
            loop {
                match decoder.pull() {
                    Ok(Some(Raw::Body(part))) => pulled += part.len(),
                    Ok(Some(Raw::Message(_, payload))) => pulled += payload.len(),
                    Ok(None) => break,
                    Err(_) => break 'session,
                }
            }
        }
        prop_assert!(pulled <= pushed);
    }

    #[test]
    fn any_payload_is_read_or_refused(payload in prop::collection::vec(any::<u8>(), 0..256)) {
        // What matters is that none of them panics or allocates without bound.
        let _ = read::<Open>(kind::OPEN, &payload);
        let _ = read::<Head>(kind::HEAD, &payload);
        let _ = read::<Refused>(kind::REFUSED, &payload);
        let _ = read::<Failed>(kind::FAILED, &payload);
        let _ = read::<Claim>(kind::CLAIM, &payload);
        let _ = read::<Claimed>(kind::CLAIMED, &payload);
        let _ = read::<Recall>(kind::RECALL, &payload);
        let _ = read::<Trailers>(kind::TRAILERS, &payload);
    }

    #[test]
    fn a_flipped_byte_is_read_or_refused(at in 0usize..200, flip in 1u8..) {
        let (_, payload) = pull_message(frame(kind::OPEN, &open()));
        let mut payload = payload.to_vec();
        let at = at % payload.len();
        payload[at] ^= flip;
        if let Ok(read) = read::<Open>(kind::OPEN, &payload) {
            prop_assert!(read.headers.len() <= 256);
        }
    }
}

cases! {
    open_survives: survives(kind::OPEN, &open());
    head_survives: survives(kind::HEAD, &head());
    refused_survives: survives(kind::REFUSED, &REFUSED);
    failed_survives: survives(kind::FAILED, &FAILED);
    trailers_survive: survives(kind::TRAILERS, &trailers());
    open_skips_a_later_field: skips_a_later_field(kind::OPEN, &open(), 13);
    head_skips_a_later_field: skips_a_later_field(kind::HEAD, &head(), 5);
    refused_skips_a_later_field: skips_a_later_field(kind::REFUSED, &REFUSED, 4);
    failed_skips_a_later_field: skips_a_later_field(kind::FAILED, &FAILED, 3);
    trailers_skip_a_later_field: skips_a_later_field(kind::TRAILERS, &trailers(), 1);
    recall_survives: survives(kind::RECALL, &RECALL);
    claim_survives: survives(kind::CLAIM, &claim());
    claimed_survives: survives(kind::CLAIMED, &CLAIMED);
    claim_skips_a_later_field: skips_a_later_field(kind::CLAIM, &claim(), 6);
    claimed_skips_a_later_field: skips_a_later_field(kind::CLAIMED, &CLAIMED, 2);
    load_skips_later_numbers: skips_later_numbers_of_a_load();
    missing_fields_take_their_default: defaults_what_an_earlier_version_lacks();
    long_message_is_refused_by_its_header: too_long(kind::OPEN, MAX_MESSAGE_BYTES + 1);
    long_body_is_refused_by_its_header: too_long(kind::BODY, MAX_BODY_BYTES + 1);
    long_message_is_not_sent: refuses_a_message_over_the_limit();
    too_many_header_fields_are_refused: refuses_too_many_header_fields();
    header_has_six_bytes: assert_eq!(bare(kind::END).len(), HEADER_BYTES);
    bytes_of_open: insta::assert_snapshot!(hex(&frame(kind::OPEN, &open())));
    bytes_of_body: insta::assert_snapshot!(hex(&body(b"eggs")));
    bytes_of_trailers: insta::assert_snapshot!(hex(&frame(kind::TRAILERS, &trailers())));
    bytes_of_end: insta::assert_snapshot!(hex(&bare(kind::END)));
    bytes_of_recall: insta::assert_snapshot!(hex(&frame(kind::RECALL, &RECALL)));
    bytes_of_admitted: insta::assert_snapshot!(hex(&bare(kind::ADMITTED)));
    bytes_of_refused: insta::assert_snapshot!(hex(&frame(kind::REFUSED, &REFUSED)));
    bytes_of_failed: insta::assert_snapshot!(hex(&frame(kind::FAILED, &FAILED)));
    bytes_of_claim: insta::assert_snapshot!(hex(&frame(kind::CLAIM, &claim())));
    bytes_of_claimed: insta::assert_snapshot!(hex(&frame(kind::CLAIMED, &CLAIMED)));
    bytes_of_head: insta::assert_snapshot!(hex(&frame(kind::HEAD, &head())));
}
