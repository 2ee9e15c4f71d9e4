//! Checks that need more than one row.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::Regions;

use super::column::Column;
use super::decode::{Decoded, Heading, fault_at};
use super::fault::Fault;
use super::row::{Home, Key, Kind, Method, Route, Row};

/// Rows of one kind that a plan can hold, one for each key.
const ROWS_OF_KIND_MAX: usize = u16::MAX as usize;

/// What a route matches; two routes of a service may not match the same.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Match<'a> {
    service: &'a str,
    method: Option<Method>,
    path: &'a str,
}

/// Looks for rows that contradict each other.
pub(super) fn check(heading: &Heading, rows: &[Decoded], faults: &mut Vec<Fault>) {
    let mut checker = Checker {
        heading,
        rows,
        faults,
        known: BTreeSet::new(),
    };
    checker.reject_doubles();
    checker.reject_excess();
    checker.reject_unknown();
    checker.reject_same_match();
    if heading.is_complete() {
        checker.require(Kind::Zone);
        checker.require(Kind::Service);
    }
}

struct Checker<'a> {
    heading: &'a Heading,
    rows: &'a [Decoded],
    faults: &'a mut Vec<Fault>,
    known: BTreeSet<&'a Key>,
}

impl Checker<'_> {
    fn fault(&mut self, row: usize, column: Column, value: &str, remedy: &str) {
        self.faults
            .extend(fault_at(self.heading, row, column, value, remedy));
    }

    fn reject_doubles(&mut self) {
        let mut first = BTreeMap::new();
        for decoded in self.rows {
            let Some(key) = &decoded.key else { continue };
            if let Some(row) = first.insert(key, decoded.row) {
                first.insert(key, row);
                let remedy = format!("rename it or delete the row; row {row} declares {key}");
                self.fault(decoded.row, Column::Name, &key.name, &remedy);
            }
        }
        self.known = first.into_keys().collect();
    }

    fn reject_excess(&mut self) {
        for kind in Kind::ALL {
            let most = match kind {
                Kind::Region => Regions::CAPACITY,
                _ => ROWS_OF_KIND_MAX,
            };
            let of_kind =
                |decoded: &&Decoded| decoded.key.as_ref().is_some_and(|key| key.kind == kind);
            let Some(decoded) = self.rows.iter().filter(of_kind).nth(most) else {
                continue;
            };
            let remedy = format!("keep at most {most} rows of this kind");
            self.fault(decoded.row, Column::Kind, kind.as_str(), &remedy);
        }
    }

    fn reject_unknown(&mut self) {
        for decoded in self.rows {
            match &decoded.value {
                Some(Row::Zone(zone)) => {
                    self.expect(decoded.row, Column::Region, Kind::Region, &zone.region);
                }
                Some(Row::Tenant(tenant)) => self.expect_home(decoded.row, &tenant.home),
                Some(Row::Route(route)) => self.expect_home(decoded.row, &route.home),
                _ => {}
            }
            if let Some(key) = decoded.key.as_ref().filter(|key| key.kind == Kind::Route) {
                self.expect(decoded.row, Column::Service, Kind::Service, &key.service);
            }
        }
    }

    fn expect_home(&mut self, row: usize, home: &Home) {
        let Home::Named(names) = home else { return };
        for name in names {
            self.expect(row, Column::Regions, Kind::Region, name);
        }
    }

    fn expect(&mut self, row: usize, column: Column, kind: Kind, name: &str) {
        let key = Key {
            kind,
            service: String::new(),
            name: name.to_owned(),
        };
        if !self.known.contains(&key) {
            let remedy = format!("name a {kind} of the sheet, or add a row {kind},{name}");
            self.fault(row, column, name, &remedy);
        }
    }

    fn reject_same_match(&mut self) {
        let mut first = BTreeMap::new();
        for decoded in self.rows {
            let (Some(key), Some(Row::Route(route))) = (&decoded.key, &decoded.value) else {
                continue;
            };
            if let Some(row) = first.insert(matched(key, route), decoded.row) {
                first.insert(matched(key, route), row);
                let remedy = format!("change method or path; row {row} matches the same requests");
                self.fault(decoded.row, Column::Path, &route.path, &remedy);
            }
        }
    }

    fn require(&mut self, kind: Kind) {
        if !self.known.iter().any(|key| key.kind == kind) {
            let remedy = format!("add at least one row of kind {kind}");
            self.fault(1, Column::Kind, "", &remedy);
        }
    }
}

fn matched<'a>(key: &'a Key, route: &'a Route) -> Match<'a> {
    Match {
        service: &key.service,
        method: route.method,
        path: &route.path,
    }
}
