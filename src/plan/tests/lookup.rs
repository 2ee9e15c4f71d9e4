use std::time::Duration;

use http::Method;

use crate::plan::{Cold, Plan, Regions, Route, Service, Terms, Upkeep, key};

fn route(path: &str, method: Option<Method>) -> Route {
    Route {
        name: path.into(),
        service: key::Service(0),
        method,
        path: path.into(),
        regions: Regions::ALL,
        worth: 1,
        idempotent: None,
        deadline: Duration::from_secs(1),
        second_copy: false,
        terms: Terms::default(),
    }
}

fn plan() -> Plan {
    Plan {
        services: vec![Service {
            name: "odber".into(),
            slots: 9,
            cold: Cold {
                allowance: 1,
                steps: 4,
                step_time: Duration::from_secs(1),
            },
            routes: vec![key::Route(0), key::Route(1)],
            upkeep: Upkeep::default(),
        }],
        routes: vec![
            route("/orders/drafts", Some(Method::POST)),
            route("/orders", None),
        ],
        ..Plan::default()
    }
}

fn found(method: &Method, path: &str) -> Option<key::Route> {
    plan().find_route(key::Service(0), method, path)
}

cases! {
    longest_path_is_found_first:
        assert_eq!(found(&Method::POST, "/orders/drafts/7"), Some(key::Route(0)));
    other_method_falls_through_to_the_shorter_path:
        assert_eq!(found(&Method::GET, "/orders/drafts/7"), Some(key::Route(1)));
    prefix_matches_whole_segments_only:
        assert_eq!(found(&Method::GET, "/ordersheet"), None);
    encoded_path_is_the_same_path:
        assert_eq!(found(&Method::GET, "/%6frders/7"), Some(key::Route(1)));
    encoded_slash_is_part_of_a_segment:
        assert_eq!(found(&Method::GET, "/orders%2F7"), None);
    dot_segments_do_not_reach_another_route:
        assert_eq!(found(&Method::GET, "/calendar/../orders/./7"), Some(key::Route(1)));
    dot_segments_do_not_hide_a_route:
        assert_eq!(found(&Method::GET, "/orders/%2e%2e/payments"), None);
    empty_segments_do_not_hide_a_route:
        assert_eq!(found(&Method::GET, "//orders//7"), Some(key::Route(1)));
    broken_encoding_is_left_as_it_is:
        assert_eq!(found(&Method::GET, "/orders/%zz/%"), Some(key::Route(1)));
    query_is_not_part_of_the_path:
        assert_eq!(found(&Method::GET, "/orders?day=3"), Some(key::Route(1)));
}
