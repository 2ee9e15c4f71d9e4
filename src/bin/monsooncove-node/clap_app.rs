//! Command line of the node.

use clap::{Arg, ArgAction, Command};
use monsooncove::settings::Name;

/// Flag that prints the settings and exits.
pub const CHECK_SETTINGS: &str = "check-settings";

const LONG_ABOUT: &str = "\
Runs beside one backend server: accepts callers, admits work to its backend \
server and carries calls to the nodes of other backend servers.

Each flag may be given as an environment variable instead; the flag wins. On \
SIGTERM or SIGINT the node withdraws, refuses new work as not run, finishes \
what it has and exits.";

const EXIT_CODES: &str = "\
Exit codes:
  0  stopped gracefully, or settings checked
  1  failed while running
  2  settings are missing, invalid or contradictory
  3  stopped by a second signal, or the grace ran out with calls in hand";

/// Builds the command line from the list of settings.
pub fn build() -> Command {
    Command::new("monsooncove-node")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The node beside one backend server")
        .long_about(LONG_ABOUT)
        .after_long_help(EXIT_CODES)
        .max_term_width(100)
        .args(Name::ALL.map(setting))
        .arg(
            Arg::new(CHECK_SETTINGS)
                .long(CHECK_SETTINGS)
                .action(ArgAction::SetTrue)
                .help("Check the settings, print them and exit"),
        )
}

fn setting(name: Name) -> Arg {
    let default = name.default();
    let default = default.map_or_else(String::new, |default| format!(" [default: {default}]"));
    let long_help = format!("{} [env: {}]{default}", name.help(), name.variable());
    Arg::new(name.flag())
        .long(name.flag())
        .env(name.variable())
        .hide_env(true)
        .value_name(name.value())
        .allow_hyphen_values(true)
        .help(name.help())
        .long_help(long_help)
}
