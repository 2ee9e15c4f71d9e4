//! Applies sheets as an operator does.

use std::io;
use std::net::SocketAddr;

use crate::acceptance::{self, Acceptance};
use crate::plan::Version;
use crate::sheet::{self, Sheet};
use crate::store::http::{Http, Settings};

/// An operator with a sheet.
#[derive(Debug)]
pub struct Operator {
    store: Http,
    sheet: Sheet,
}

impl Operator {
    /// An operator who starts from `sheet`.
    #[must_use]
    pub fn new(store: SocketAddr, sheet: Sheet) -> Self {
        Self {
            store: Http::new(store, Settings::default()),
            sheet,
        }
    }

    /// The sheet as last changed.
    #[must_use]
    pub fn sheet(&self) -> &Sheet {
        &self.sheet
    }

    /// Has the sheet accepted.
    ///
    /// # Errors
    ///
    /// Fails unless the sheet is known to be in force.
    pub async fn apply(&self) -> io::Result<Version> {
        match acceptance::accept(&self.store, &self.sheet).await {
            Ok(Acceptance::Accepted { version, .. } | Acceptance::Same { version }) => Ok(version),
            Ok(Acceptance::Conflict(_)) => Err(io::Error::other("another sheet came first")),
            Err(error) => Err(io::Error::other(error)),
        }
    }

    /// Takes a zone in or out of service and has the sheet accepted.
    ///
    /// # Errors
    ///
    /// Fails unless the sheet is known to be in force.
    pub async fn set_zone(&mut self, zone: &str, in_service: bool) -> io::Result<Version> {
        self.sheet = with_zone(&self.sheet, zone, in_service)?;
        self.apply().await
    }
}

/// `sheet` with `zone` in or out of service.
///
/// # Errors
///
/// Fails when the sheet has no such zone.
pub fn with_zone(sheet: &Sheet, zone: &str, in_service: bool) -> io::Result<Sheet> {
    let row = format!("zone,{zone},");
    let lines = sheet.to_csv();
    let lines = lines.lines().map(|line| match line.strip_prefix(&row) {
        Some(rest) if in_service => format!("{row}{}\n", rest.replacen(",out,", ",in,", 1)),
        Some(rest) => format!("{row}{}\n", rest.replacen(",in,", ",out,", 1)),
        None => format!("{line}\n"),
    });
    let text: String = lines.collect();
    sheet::parse(text.as_bytes()).map_err(|_| io::Error::other("the sheet has no such zone"))
}
