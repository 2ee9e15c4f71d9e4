use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any};
use proptest::test_runner::RngSeed;

use super::{Context, IdGenerator, MAX_HOPS, Reason, Trace};
use crate::headers;

const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

fn header_map(name: HeaderName, value: &[u8]) -> HeaderMap {
    let mut map = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_bytes(value) {
        map.insert(name, value);
    }
    map
}

fn received(traceparent: &str, per_10k: u32) -> Trace {
    let ids = IdGenerator::new(1).sample_per_10k(per_10k);
    Trace::from_headers(&header_map(TRACEPARENT, traceparent.as_bytes()), &ids)
}

fn hops(text: &str) -> Result<u32, Reason> {
    Context::from_headers(&header_map(headers::HOPS, text.as_bytes())).map(|context| context.hops)
}

cases! {
    trace_goes_on_from_the_span_that_is_named: {
        let trace = received("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 0);
        assert_eq!(trace.id, 0x0af7_6519_16cd_43dd_8448_eb21_1c80_319c);
        assert_eq!(trace.parent, 0xb7ad_6b71_6920_3331);
        assert!(trace.sampled);
    };
    choice_of_the_first_hop_outweighs_the_ratio:
        assert!(!received("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", 10_000).sampled);
    malformed_traceparent_starts_a_trace:
        assert_eq!(received("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 0).parent, 0);
    ratio_of_all_keeps_a_trace_that_starts_here:
        assert!(received("", 10_000).sampled);
    ratio_of_none_keeps_none:
        assert!(!received("", 0).sampled);
    first_node_is_the_first_hop:
        assert_eq!(Context::from_headers(&HeaderMap::new()).map(|context| context.hops), Ok(1));
    tenth_hop_is_the_last: {
        assert_eq!(hops("9"), Ok(MAX_HOPS));
        assert_eq!(hops("10"), Err(Reason::TooManyHops));
    };
    signed_number_is_malformed:
        assert_eq!(hops("+1"), Err(Reason::Malformed));
    number_beyond_all_bounds_is_malformed:
        assert_eq!(hops("99999999999999999999999"), Err(Reason::Malformed));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest::proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_header_makes_a_node_panic(value in vec(any::<u8>(), 0..96), index in 0_usize..5) {
        let names = [
            headers::HOPS,
            headers::DEADLINE_MS,
            headers::REGIONS,
            headers::TENANT,
            TRACEPARENT,
        ];
        let map = header_map(names[index].clone(), &value);
        let trace = Trace::from_headers(&map, &IdGenerator::new(1));
        proptest::prop_assert!(trace.span != 0);
        if let Ok(context) = Context::from_headers(&map) {
            proptest::prop_assert!(context.hops <= MAX_HOPS);
        }
    }

    #[test]
    fn trace_survives_the_way_to_the_next_hop(id in 1_u128.., parent in 1_u64.., sampled: bool) {
        let ids = IdGenerator::new(1);
        let sent = Trace { id, parent: 0, span: parent, sampled };
        let mut map = HeaderMap::new();
        sent.write_headers(&mut map);
        let received = Trace::from_headers(&map, &ids);
        proptest::prop_assert_eq!((received.id, received.parent), (id, parent));
        proptest::prop_assert_eq!(received.sampled, sampled);
    }
}
