use std::collections::BTreeMap;

use super::{Name, Print, check};

const GOOD: [(Name, &str); 6] = [
    (Name::Instance, "odber-1"),
    (Name::Service, "odber"),
    (Name::Region, "morava"),
    (Name::AvailabilityZone, "morava-a"),
    (Name::BackendServer, "127.0.0.1:9000"),
    (Name::Store, "127.0.0.1:2379"),
];

fn checked(base: &[(Name, &str)], changed: &[(Name, &str)], variables: &[&str]) -> String {
    let mut values: BTreeMap<Name, String> = BTreeMap::new();
    for (name, value) in base.iter().chain(changed) {
        values.insert(*name, (*value).to_owned());
    }
    let variables = variables.iter().map(|name| (*name).to_owned());
    match check(|name| values.get(&name).cloned(), variables) {
        Ok(settings) => Print(&settings).to_string(),
        Err(faults) => faults.to_string(),
    }
}

cases! {
    good_settings_are_printed_in_full:
        insta::assert_snapshot!(checked(&GOOD, &[], &["PATH"]));
    every_missing_setting_is_named_at_once:
        insta::assert_snapshot!(checked(&[], &[], &[]));
    every_bad_value_is_named_with_its_remedy:
        insta::assert_snapshot!(checked(&GOOD, &[
            (Name::Instance, "a/b"),
            (Name::Store, "store.local"),
            (Name::BackendServer, "0.0.0.0:0"),
            (Name::Join, "127.0.0.1:1,nowhere"),
            (Name::CallerListen, "0.0.0.0:80"),
            (Name::TracePer10k, "20000"),
            (Name::ShutdownGrace, "0"),
            (Name::LogLevel, "loud"),
            (Name::LogFormat, "xml"),
            (Name::Seed, "x"),
        ], &[]));
    listeners_on_one_port_contradict_each_other:
        insta::assert_snapshot!(checked(&GOOD, &[
            (Name::CallerListen, "127.0.0.1:80"),
            (Name::PeerListen, "127.0.0.1:80"),
        ], &[]));
    unknown_variable_is_a_fault:
        insta::assert_snapshot!(checked(&GOOD, &[], &["MONSOONCOVE_ZONE"]));
    wildcard_listener_needs_an_announced_address:
        assert!(!checked(&GOOD, &[
            (Name::CallerListen, "0.0.0.0:80"),
            (Name::CallerAdvertise, "10.0.0.1:80"),
        ], &[]).contains("cannot be announced"));
}

fn table_row(name: Name) -> String {
    format!(
        "| `--{}` | `{}` | {} | {} | {} |",
        name.flag(),
        name.variable(),
        name.value(),
        name.default().unwrap_or("–"),
        name.help(),
    )
}

cases! {
    page_lists_every_setting_and_no_other: {
        let page = include_str!("../../docs/OPERATIONS.md");
        let listed: Vec<_> = page
            .lines()
            .filter(|line| line.starts_with("| `--"))
            .collect();
        let known: Vec<_> = Name::ALL.iter().map(|name| table_row(*name)).collect();
        assert_eq!(listed, known);
    };
}
