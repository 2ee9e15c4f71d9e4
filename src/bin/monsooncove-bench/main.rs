//! Drives and measures real processes. Not part of what is rolled out.

mod app;
mod clap_app;
mod policy;
mod slopes;
mod soak;

use std::process::ExitCode;

use monsooncove::error;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match app::run(&matches).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            error::print(&fault);
            ExitCode::from(2)
        }
    }
}
