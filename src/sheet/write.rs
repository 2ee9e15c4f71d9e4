//! The canonical text: commas, `\n`, columns and rows in a fixed order.

use super::Sheet;
use super::column::Column;
use super::decode::{ALL_REGIONS, ANY_METHOD};
use super::row::{Home, Key, Method, Route, Row};

/// Writes a sheet. No cell of a valid sheet needs quotes.
pub(super) fn to_csv(sheet: &Sheet) -> String {
    let mut text = Column::ALL.map(Column::as_str).join(",");
    text.push('\n');
    for (key, row) in sheet.rows() {
        text.push_str(&line(key, row));
        text.push('\n');
    }
    text
}

/// One row of the canonical text, without its line end.
pub(super) fn line(key: &Key, row: &Row) -> String {
    cells(key, row).join(",")
}

/// Cells of one row in canonical order.
pub(super) fn cells(key: &Key, row: &Row) -> [String; Column::ALL.len()] {
    Column::ALL.map(|column| match column {
        Column::Kind => key.kind.to_string(),
        Column::Name => key.name.clone(),
        Column::Service => key.service.clone(),
        _ => cell(column, row),
    })
}

fn cell(column: Column, row: &Row) -> String {
    match (column, row) {
        (Column::Region, Row::Zone(zone)) => zone.region.clone(),
        (Column::State, Row::Zone(zone)) => choice(zone.in_service, "in", "out"),
        (Column::Slots, Row::Service(service)) => service.slots.to_string(),
        (Column::ColdAllowance, Row::Service(service)) => service.cold_allowance.to_string(),
        (Column::WarmSteps, Row::Service(service)) => service.warm_steps.to_string(),
        (Column::WarmStepMs, Row::Service(service)) => service.warm_step_ms.to_string(),
        (Column::Regions, Row::Tenant(tenant)) => home(&tenant.home),
        (column, Row::Route(route)) => route_cell(column, route),
        _ => String::new(),
    }
}

fn route_cell(column: Column, route: &Route) -> String {
    match column {
        Column::Method => route.method.map_or(ANY_METHOD, Method::as_str).to_owned(),
        Column::Path => route.path.clone(),
        Column::Regions => home(&route.home),
        Column::Worth => route.worth.to_string(),
        Column::Idempotent => route
            .idempotent
            .map_or_else(String::new, |idempotent| choice(idempotent, "yes", "no")),
        Column::DeadlineMs => route.deadline_ms.to_string(),
        Column::SecondCopy => choice(route.second_copy, "yes", "no"),
        _ => String::new(),
    }
}

fn choice(value: bool, yes: &str, no: &str) -> String {
    if value { yes } else { no }.to_owned()
}

fn home(home: &Home) -> String {
    match home {
        Home::All => ALL_REGIONS.to_owned(),
        Home::Named(names) => {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            names.join(" ")
        }
    }
}
