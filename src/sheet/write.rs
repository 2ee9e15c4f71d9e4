//! The canonical text: commas, `\n`, columns and rows in a fixed order.

use super::Sheet;
use super::column::Column;
use super::decode::{ALL_REGIONS, ANY_METHOD};
use super::row::{Home, Key, Method, Route, Row};

/// Writes a sheet. No cell of a valid sheet needs quotes.
pub(super) fn to_csv(sheet: &Sheet) -> String {
    let rows: Vec<_> = sheet.rows().map(|(key, row)| cells(key, row)).collect();
    let is_used = |column: &Column| rows.iter().any(|cells| !cells[column.index()].is_empty());
    let is_written = |column: &Column| !column.is_optional() || is_used(column);
    let columns: Vec<Column> = Column::ALL.into_iter().filter(is_written).collect();
    let mut text = join(columns.iter().map(|column| column.as_str()));
    for cells in &rows {
        let written = columns.iter().map(|column| cells[column.index()].as_str());
        text.push_str(&join(written));
    }
    text
}

fn join<'a>(cells: impl Iterator<Item = &'a str>) -> String {
    let mut line = cells.collect::<Vec<_>>().join(",");
    line.push('\n');
    line
}

/// One row as people read it, without line end and without blank optional cells
/// at its end.
pub(super) fn line(key: &Key, row: &Row) -> String {
    let cells = cells(key, row);
    let is_shown = |column: &Column| !column.is_optional() || !cells[column.index()].is_empty();
    let last = Column::ALL.into_iter().rfind(is_shown);
    let shown = last.map_or(0, |column| column.index() + 1);
    cells[..shown].join(",")
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
        Column::ObjectiveMs => optional(route.objective_ms),
        Column::Attempts => optional(route.attempts),
        _ => String::new(),
    }
}

fn optional(value: Option<u32>) -> String {
    value.map_or_else(String::new, |value| value.to_string())
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
