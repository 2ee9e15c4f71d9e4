//! From cells to typed rows.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::plan::path;

use super::column::Column;
use super::fault::Fault;
use super::heading::{Heading, fault_at};
use super::read::Cells;
use super::row::{Home, Key, Kind, Method, Route, Row, Service, Tenant, Zone};

const NAME_CHARS_MAX: usize = 63;
const PATH_CHARS_MAX: usize = 512;
const SLOTS: RangeInclusive<u32> = 1..=100_000;
const WARM_STEPS: RangeInclusive<u32> = 1..=1_000;
const WARM_STEP_MS: RangeInclusive<u32> = 1..=3_600_000;
const WORTH: RangeInclusive<u32> = 1..=1_000_000;
const DEADLINE_MS: RangeInclusive<u32> = 1..=3_600_000;
const ATTEMPTS: RangeInclusive<u32> = 1..=16;

/// Word that stands for every region.
pub(super) const ALL_REGIONS: &str = "all";
/// Word that stands for every method.
pub(super) const ANY_METHOD: &str = "any";

/// A row as far as it could be read.
#[derive(Debug)]
pub(super) struct Decoded {
    /// Number of the row.
    pub row: usize,
    /// What the row is about, when kind and name are readable.
    pub key: Option<Key>,
    /// The row, when all of it is readable.
    pub value: Option<Row>,
}

/// Decodes one row below the heading.
pub(super) fn decode(heading: &Heading, cells: &Cells, faults: &mut Vec<Fault>) -> Decoded {
    let mut decoder = Decoder {
        heading,
        cells,
        faults,
    };
    decoder.reject_outside();
    let Some(kind) = decoder.kind() else {
        return Decoded {
            row: cells.row,
            key: None,
            value: None,
        };
    };
    decoder.reject_foreign(kind);
    let key = decoder.key(kind);
    let value = decoder.value(kind);
    Decoded {
        row: cells.row,
        key,
        value,
    }
}

struct Decoder<'a> {
    heading: &'a Heading,
    cells: &'a Cells,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Decoder<'a> {
    fn text(&self, column: Column) -> &'a str {
        let index = self.heading.positions[column.index()];
        index
            .and_then(|index| self.cells.cells.get(index))
            .map_or("", String::as_str)
    }

    /// A column that is missing has been reported once, at the heading.
    fn fault(&mut self, column: Column, remedy: &str) {
        let value = self.text(column);
        let fault = fault_at(self.heading, self.cells.row, column, value, remedy);
        self.faults.extend(fault);
    }

    fn reject_outside(&mut self) {
        let outside = self.cells.cells.iter().enumerate().skip(self.heading.width);
        for (index, text) in outside.filter(|(_, text)| !text.is_empty()) {
            let remedy = "clear the cell; it has no heading";
            let fault = Fault::new(self.cells.row, index + 1, "", text, remedy);
            self.faults.push(fault);
        }
    }

    fn reject_foreign(&mut self, kind: Kind) {
        for column in Column::ALL {
            if !column.belongs_to(kind) && !self.text(column).is_empty() {
                self.fault(column, &format!("clear the cell; a {kind} has no {column}"));
            }
        }
    }

    fn kind(&mut self) -> Option<Kind> {
        let text = self.text(Column::Kind);
        let kind = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        if kind.is_none() {
            let words = Kind::ALL.map(Kind::as_str).join(", ");
            self.fault(Column::Kind, &format!("write one of {words}"));
        }
        kind
    }

    fn key(&mut self, kind: Kind) -> Option<Key> {
        let name = self.name(Column::Name);
        if kind == Kind::Region && name.as_deref() == Some(ALL_REGIONS) {
            self.fault(
                Column::Name,
                "choose another name; all stands for every region",
            );
        }
        let service = match kind {
            Kind::Route => self.name(Column::Service),
            _ => Some(String::new()),
        };
        Some(Key {
            kind,
            service: service?,
            name: name?,
        })
    }

    fn value(&mut self, kind: Kind) -> Option<Row> {
        match kind {
            Kind::Region => Some(Row::Region),
            Kind::Zone => self.zone().map(Row::Zone),
            Kind::Service => self.service().map(Row::Service),
            Kind::Tenant => self.home().map(|home| Row::Tenant(Tenant { home })),
            Kind::Route => self.route().map(Row::Route),
        }
    }

    fn zone(&mut self) -> Option<Zone> {
        let region = self.name(Column::Region);
        let in_service = self.choice(Column::State, "in", "out");
        Some(Zone {
            region: region?,
            in_service: in_service?,
        })
    }

    fn service(&mut self) -> Option<Service> {
        let slots = self.number(Column::Slots, SLOTS);
        let most = slots.unwrap_or(*SLOTS.end());
        let cold_allowance = self.number(Column::ColdAllowance, 1..=most);
        let warm_steps = self.number(Column::WarmSteps, WARM_STEPS);
        let warm_step_ms = self.number(Column::WarmStepMs, WARM_STEP_MS);
        Some(Service {
            slots: slots?,
            cold_allowance: cold_allowance?,
            warm_steps: warm_steps?,
            warm_step_ms: warm_step_ms?,
        })
    }

    fn route(&mut self) -> Option<Route> {
        let method = self.method();
        let path = self.path();
        let home = self.home();
        let worth = self.number(Column::Worth, WORTH);
        let idempotent = self.idempotent();
        let deadline_ms = self.number(Column::DeadlineMs, DEADLINE_MS);
        let second_copy = self.choice(Column::SecondCopy, "yes", "no");
        let most_ms = deadline_ms.unwrap_or(*DEADLINE_MS.end());
        let objective_ms = self.optional(Column::ObjectiveMs, 1..=most_ms);
        let attempts = self.optional(Column::Attempts, ATTEMPTS);
        let route = Route {
            method: method?,
            path: path?,
            home: home?,
            worth: worth?,
            idempotent: idempotent?,
            deadline_ms: deadline_ms?,
            second_copy: second_copy?,
            objective_ms: objective_ms?,
            attempts: attempts?,
        };
        self.check_second_copy(&route)
    }

    fn check_second_copy(&mut self, route: &Route) -> Option<Route> {
        let by_method = || {
            let method = route.method.map(http::Method::from);
            method.is_none_or(|method| method.is_idempotent())
        };
        if route.second_copy && !route.idempotent.unwrap_or_else(by_method) {
            self.fault(
                Column::SecondCopy,
                "write no; a second copy may run only where the call is idempotent",
            );
            return None;
        }
        Some(route.clone())
    }

    fn name(&mut self, column: Column) -> Option<String> {
        let text = self.text(column);
        if is_name(text) {
            return Some(text.to_owned());
        }
        self.fault(
            column,
            "write a name of 1 to 63 lower-case letters, digits, dots and hyphens \
             that begins and ends with a letter or digit",
        );
        None
    }

    fn number(&mut self, column: Column, range: RangeInclusive<u32>) -> Option<u32> {
        let text = self.text(column);
        let plain = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| plain);
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return Some(number);
        }
        let (least, most) = (range.start(), range.end());
        self.fault(
            column,
            &format!("write a whole number from {least} to {most}"),
        );
        None
    }

    #[expect(clippy::option_option, reason = "blank and unreadable are different")]
    fn optional(&mut self, column: Column, range: RangeInclusive<u32>) -> Option<Option<u32>> {
        if self.text(column).is_empty() {
            return Some(None);
        }
        self.number(column, range).map(Some)
    }

    fn choice(&mut self, column: Column, yes: &str, no: &str) -> Option<bool> {
        let text = self.text(column);
        if text == yes || text == no {
            return Some(text == yes);
        }
        self.fault(column, &format!("write {yes} or {no}"));
        None
    }

    #[expect(
        clippy::option_option,
        reason = "by method and unreadable are different"
    )]
    fn idempotent(&mut self) -> Option<Option<bool>> {
        match self.text(Column::Idempotent) {
            "" => Some(None),
            "yes" => Some(Some(true)),
            "no" => Some(Some(false)),
            _ => {
                self.fault(
                    Column::Idempotent,
                    "write yes or no, or leave it blank to go by the method",
                );
                None
            }
        }
    }

    #[expect(
        clippy::option_option,
        reason = "any method and unreadable are different"
    )]
    fn method(&mut self) -> Option<Option<Method>> {
        let text = self.text(Column::Method);
        if text == ANY_METHOD {
            return Some(None);
        }
        let method = Method::ALL
            .into_iter()
            .find(|method| method.as_str() == text);
        if method.is_none() {
            let words = Method::ALL.map(Method::as_str).join(", ");
            self.fault(
                Column::Method,
                &format!("write {ANY_METHOD} or one of {words}"),
            );
        }
        method.map(Some)
    }

    fn path(&mut self) -> Option<String> {
        let text = self.text(Column::Path);
        if is_path(text) {
            return Some(text.to_owned());
        }
        self.fault(
            Column::Path,
            "write a path such as /orders: it begins with a slash, has no empty or dot segment, \
             no query and at most 512 characters of a URL path",
        );
        None
    }

    fn home(&mut self) -> Option<Home> {
        let text = self.text(Column::Regions);
        if text == ALL_REGIONS {
            return Some(Home::All);
        }
        let names: BTreeSet<String> = text.split(' ').map(str::to_owned).collect();
        let readable = names
            .iter()
            .all(|name| is_name(name) && name != ALL_REGIONS);
        if !readable || names.len() != text.split(' ').count() {
            let remedy = "write all, or names of regions with one space between them";
            self.fault(Column::Regions, remedy);
            return None;
        }
        Some(Home::Named(names))
    }
}

fn is_name(text: &str) -> bool {
    let inner = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    let edge = |byte: Option<u8>| byte.is_some_and(|byte| byte.is_ascii_alphanumeric());
    text.len() <= NAME_CHARS_MAX
        && text.bytes().all(inner)
        && edge(text.bytes().next())
        && edge(text.bytes().next_back())
}

fn is_path(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/-._~%!$&'()*+=:@".contains(&byte);
    text.starts_with('/')
        && text.len() <= PATH_CHARS_MAX
        && text.bytes().all(allowed)
        && (text == "/" || !text.ends_with('/'))
        && path::normal(text) == text
}
