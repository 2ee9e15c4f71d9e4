//! Tenants by API key, and what their priority does.

use std::time::Duration;

use crate::plan::{KeyDigest, Plan, Regions, Route, Tenant, Terms, Unauthenticated, key};

const ROUTE: key::Route = key::Route(0);
const OPEN_ROUTE: key::Route = key::Route(1);

fn route(worth: u32, open: bool) -> Route {
    Route {
        name: "order".into(),
        service: key::Service(0),
        method: None,
        path: "/".into(),
        regions: Regions::ALL,
        worth,
        idempotent: None,
        deadline: Duration::from_secs(1),
        second_copy: false,
        terms: Terms {
            open,
            ..Terms::default()
        },
    }
}

fn tenant(priority: Option<u32>) -> Tenant {
    Tenant {
        priority,
        ..Tenant::default()
    }
}

fn plan() -> Plan {
    let digest = KeyDigest::of(b"secret");
    Plan {
        tenants: vec![tenant(Some(1)), tenant(Some(2)), tenant(None)],
        routes: vec![route(10, false), route(900, true)],
        api_keys: Some([(digest, key::Tenant(1))].into()),
        ..Plan::default()
    }
}

fn tenant_of(route: key::Route, api_key: &[u8]) -> Result<Option<key::Tenant>, Unauthenticated> {
    plan().authenticate(route, Some(&KeyDigest::of(api_key)))
}

fn worth(route: key::Route, tenant: u16) -> u32 {
    plan().worth(route, Some(key::Tenant(tenant)))
}

cases! {
    known_key_names_its_tenant: assert_eq!(tenant_of(ROUTE, b"secret"), Ok(Some(key::Tenant(1))));
    unknown_key_is_refused: assert_eq!(tenant_of(ROUTE, b"guess"), Err(Unauthenticated));
    open_route_needs_no_key: assert_eq!(plan().authenticate(OPEN_ROUTE, None), Ok(None));
    open_route_knows_a_key_all_the_same:
        assert_eq!(tenant_of(OPEN_ROUTE, b"secret"), Ok(Some(key::Tenant(1))));
    priority_of_the_tenant_goes_before_the_route: assert!(worth(ROUTE, 0) > worth(OPEN_ROUTE, 1));
    route_decides_within_a_tenant: assert!(worth(OPEN_ROUTE, 1) > worth(ROUTE, 1));
    tenant_without_a_priority_comes_last: assert!(worth(ROUTE, 1) > worth(OPEN_ROUTE, 2));
    call_of_a_call_comes_first: assert!(plan().worth(ROUTE, None) > worth(OPEN_ROUTE, 0));
    plan_without_keys_goes_by_the_route: {
        let plan = Plan { api_keys: None, ..plan() };
        assert_eq!(plan.worth(ROUTE, Some(key::Tenant(0))), 10);
    };
    digest_is_not_shown: assert_eq!(format!("{:?}", KeyDigest::of(b"secret")), "KeyDigest(..)");
    digest_is_read_from_hexadecimal_digits: {
        // SHA-256 of the empty text, from FIPS 180-4's test vectors.
        let text = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
        assert_eq!(KeyDigest::from_hex(text), Some(KeyDigest::of(b"")));
        assert_eq!(KeyDigest::from_hex("e3"), None);
        assert_eq!(KeyDigest::from_hex(&"x".repeat(64)), None);
    };
}
