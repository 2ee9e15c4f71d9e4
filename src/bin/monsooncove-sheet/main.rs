//! The operators' tool: checks sheets, puts them in force and shows what is.

mod app;
mod apply;
mod check;
mod clap_app;
mod diff;
mod exit;
mod file;
mod fleet;
mod group;
mod known;
mod paint;
mod show;
mod status;
mod table;
mod wait;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match app::run(&matches) {
        Ok(exit) => exit.into(),
        Err(failure) => {
            monsooncove::error::print(&failure.message);
            failure.exit.into()
        }
    }
}
