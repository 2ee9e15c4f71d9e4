//! The node beside one backend server.

mod app;
mod clap_app;

use std::process::ExitCode;

use app::App;
use monsooncove::settings::Print;
use monsooncove::{error, node};

const USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    match App::from_matches(&matches) {
        Ok(App::Check(settings)) => {
            print!("{}", Print(&settings));
            ExitCode::SUCCESS
        }
        Ok(App::Run(settings)) => run(settings),
        Err(faults) => {
            for fault in &faults.0 {
                error::print(fault);
            }
            ExitCode::from(USAGE)
        }
    }
}

fn run(settings: monsooncove::Settings) -> ExitCode {
    match node::run(settings) {
        Ok(stop) => ExitCode::from(stop.exit_code()),
        Err(error) => {
            error::print(&error);
            ExitCode::FAILURE
        }
    }
}
