//! From the command line to settings.

use clap::ArgMatches;
use monsooncove::Settings;
use monsooncove::settings::{self, Faults};

/// What the command line asks for.
pub enum App {
    /// Run a node.
    Run(Settings),
    /// Print the settings in force.
    Check(Settings),
}

impl App {
    /// Reads flags and environment variables.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Faults> {
        let value = |name: settings::Name| matches.get_one::<String>(name.flag()).cloned();
        let variables = std::env::vars_os().filter_map(|(name, _)| name.into_string().ok());
        let settings = settings::check(value, variables)?;
        if matches.get_flag(crate::clap_app::CHECK_SETTINGS) {
            Ok(Self::Check(settings))
        } else {
            Ok(Self::Run(settings))
        }
    }
}
