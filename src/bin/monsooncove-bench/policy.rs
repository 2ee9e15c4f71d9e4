//! Compares choosers.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsooncove::bench::policy::{self, Contender, Deployment, Scenario, Settings};
use monsooncove::{Error, Result};

pub fn command() -> Command {
    Command::new("policy")
        .about("Compare choosers under the same arrivals and faults")
        .arg(
            one_of("deployment", ["farm", "society"])
                .default_value("farm")
                .help("Whose zone and service names to use"),
        )
        .arg(
            one_of("scenario", Scenario::ALL.map(Scenario::as_str))
                .action(ArgAction::Append)
                .help("Load and faults; all when absent"),
        )
        .arg(
            one_of("chooser", Contender::ALL.map(Contender::as_str))
                .action(ArgAction::Append)
                .help("Choosers that take turns; all when absent"),
        )
        .arg(count("seed", "1", "Seed of arrivals, faults and choices"))
        .arg(count("rounds", "3", "Turns of every chooser"))
        .arg(count("seconds", "4", "Measured seconds of one turn"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object in place of the table"),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<bool> {
    let report = policy::run(&settings(matches)).await?;
    if matches.get_flag("json") {
        let summary = serde_json::to_string(&report.summary());
        println!("{}", summary.map_err(|error| Error::Io(error.into()))?);
    } else {
        print!("{report}");
    }
    Ok(true)
}

fn settings(matches: &ArgMatches) -> Settings {
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let defaults = Settings::default();
    Settings {
        deployment: chosen(matches, "deployment")
            .pop()
            .unwrap_or(Deployment::Farm),
        scenarios: chosen_or(matches, "scenario", defaults.scenarios),
        contenders: chosen_or(matches, "chooser", defaults.contenders),
        seed: number("seed").into(),
        rounds: number("rounds"),
        seconds: number("seconds"),
    }
}

fn chosen<T: std::str::FromStr>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let names = matches.get_many::<String>(name).into_iter().flatten();
    names.filter_map(|name| name.parse().ok()).collect()
}

fn chosen_or<T: std::str::FromStr>(matches: &ArgMatches, name: &str, all: Vec<T>) -> Vec<T> {
    let chosen = chosen(matches, name);
    if chosen.is_empty() { all } else { chosen }
}

fn one_of(name: &'static str, values: impl Into<PossibleValuesParser>) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .value_parser(values.into())
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32).range(1..))
        .help(help)
}
