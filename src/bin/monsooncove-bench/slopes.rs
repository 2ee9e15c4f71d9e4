//! Measures what each role costs.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsooncove::bench::fleet::Programs;
use monsooncove::bench::slopes::{control, data};
use monsooncove::{Error, Result};

pub fn command() -> Command {
    Command::new("slopes")
        .about("Measure what each role costs as the fleet grows, and carry it to 850 nodes")
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("NAME")
                .required(true)
                .value_parser(["control", "data"])
                .help("What to measure"),
        )
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_name("N")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .default_values(["6", "12", "24", "48", "96"])
                .value_parser(value_parser!(u32).range(6..=192))
                .help("Numbers of nodes, each a multiple of 6"),
        )
        .arg(count("seconds", "10", "Length of the steady state"))
        .arg(count("changes", "10", "Sheets accepted, one a second"))
        .arg(count("kills", "3", "Sheets accepted as relays are killed"))
        .arg(count("routes", "300", "Routes of the sheet"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object as the last line"),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<bool> {
    match matches.get_one::<String>("part").map(String::as_str) {
        Some("data") => run_data(matches).await,
        _ => run_control(matches).await,
    }
}

async fn run_data(matches: &ArgMatches) -> Result<bool> {
    let settings = data::Settings {
        programs: Programs::beside_this()?,
        seed: 1,
    };
    let done = |series: &data::Series| eprintln!("measured: {}", series.name);
    let report = data::run(&settings, done).await?;
    print!("{report}");
    print_json(&report, matches)
}

async fn run_control(matches: &ArgMatches) -> Result<bool> {
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let settings = control::Settings {
        programs: Programs::beside_this()?,
        sizes: matches
            .get_many("nodes")
            .into_iter()
            .flatten()
            .copied()
            .collect(),
        steady: Duration::from_secs(number("seconds").into()),
        changes: number("changes"),
        kills: number("kills"),
        routes: number("routes"),
    };
    let report = control::run(&settings, |sample| print!("{sample}")).await?;
    print!("{report}");
    print_json(&report, matches)
}

fn print_json(report: &impl serde::Serialize, matches: &ArgMatches) -> Result<bool> {
    if matches.get_flag("json") {
        let json = serde_json::to_string(report);
        println!("{}", json.map_err(|error| Error::Io(error.into()))?);
    }
    Ok(true)
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32).range(1..=600))
        .help(help)
}
