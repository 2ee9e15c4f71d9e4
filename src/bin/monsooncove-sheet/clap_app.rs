//! The command line.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, value_parser};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, with every reason on standard error; nothing was changed
  2  the command line or a file cannot be used
  3  the outcome is unknown, or the store or nodes are out of reach

Environment:
  MONSOONCOVE_STORE  address of the platform's key-value service, as --store
  NO_COLOR           print no colours when set and not empty";

/// The command line of the tool.
pub fn build() -> Command {
    Command::new("monsooncove-sheet")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks sheets, puts them in force and shows what is in force")
        .after_help(EXIT_CODES)
        .max_term_width(100)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(show())
        .subcommand(history())
        .subcommand(status())
        .subcommand(example())
}

fn check() -> Command {
    Command::new("check")
        .about("Report everything that is wrong with a sheet")
        .arg(file())
        .arg(json())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Compare a sheet with the one in force")
        .arg(file())
        .arg(store())
        .arg(json())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Put a sheet in force")
        .arg(file())
        .arg(store())
        .arg(
            version("base", "Refuse unless this version is in force")
                .long_help("Refuse unless this version is in force, as diff printed it"),
        )
        .arg(
            version("after", "Number the sheet after this version").long_help(
                "Number the sheet after this version, which nodes follow and the store has lost",
            ),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until every node has the sheet in force"),
        )
        .arg(
            Arg::new("wait-limit")
                .long("wait-limit")
                .value_name("SECONDS")
                .default_value("10")
                .value_parser(value_parser!(u32).range(1..=3_600))
                .help("Longest time to wait"),
        )
        .arg(json())
}

fn show() -> Command {
    Command::new("show")
        .about("Print the sheet in force")
        .arg(version(
            "at",
            "Print the sheet that was in force as this version",
        ))
        .arg(store())
}

fn history() -> Command {
    Command::new("history")
        .about("List the versions that the store remembers, newest first")
        .arg(store())
        .arg(json())
}

fn status() -> Command {
    Command::new("status")
        .about("Show zones, services and backend servers, and which nodes are late")
        .arg(store().required(false).required_unless_present("node"))
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help("Control address of a node to ask in place of the store"),
        )
        .arg(json())
}

fn example() -> Command {
    Command::new("example").about("Print a complete sheet").arg(
        Arg::new("deployment")
            .value_name("DEPLOYMENT")
            .required(true)
            .value_parser(["farm", "society"])
            .help("Whose sheet"),
    )
}

fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .help("Sheet as CSV, or - for standard input")
}

fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("ADDR")
        .env("MONSOONCOVE_STORE")
        .required(true)
        .hide_env_values(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the platform's key-value service")
}

fn version(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("VERSION")
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON object")
}
