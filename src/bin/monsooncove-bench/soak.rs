//! Soaks a deployment in faults.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsooncove::bench::demo::Deployment;
use monsooncove::bench::fleet::Programs;
use monsooncove::bench::soak::{self, Outcome, Settings};
use monsooncove::{Error, Result};

pub fn command() -> Command {
    Command::new("soak")
        .about("Run a deployment under faults drawn from seeds, one run a seed")
        .after_help(
            "Exit codes: 0 all held under every seed; 1 something was violated; 2 a run failed.",
        )
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Seeds in all"))
        .arg(
            Arg::new("seeds-from")
                .long("seeds-from")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Run the seeds of this file, one a line, before the others"),
        )
        .arg(number("seconds", "20", "Time during which calls are made"))
        .arg(number("rate", "150", "Mean number of calls a second"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object for each seed"),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<bool> {
    let settings = Settings {
        programs: Programs::beside_this()?,
        deployment: Deployment::Farm,
        duration: Duration::from_secs(value(matches, "seconds")),
        rate: f64::from(u32::try_from(value(matches, "rate")).unwrap_or(u32::MAX)),
    };
    let mut all = true;
    for seed in seeds(matches)? {
        let outcome = soak::run(&settings, seed).await?;
        all &= outcome.passes();
        print(&outcome, matches.get_flag("json"))?;
    }
    Ok(all)
}

fn seeds(matches: &ArgMatches) -> Result<Vec<u64>> {
    let mut seeds = Vec::new();
    if let Some(path) = matches.get_one::<PathBuf>("seeds-from") {
        let text = std::fs::read_to_string(path)?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let words = lines.filter_map(|line| line.split_whitespace().next());
        seeds.extend(words.filter_map(|word| word.parse::<u64>().ok()));
    }
    let first = value(matches, "seed");
    seeds.extend(first..first + value(matches, "seeds"));
    Ok(seeds)
}

fn print(outcome: &Outcome, json: bool) -> Result<()> {
    if json {
        let line = serde_json::to_string(outcome).map_err(|error| Error::Io(error.into()))?;
        println!("{line}");
        return Ok(());
    }
    let figures = &outcome.figures;
    println!(
        "seed {}: {} disturbances, {} calls, {} answered, {} refused, {} unknown, {} lost: {}",
        outcome.seed,
        outcome.disturbances,
        figures.calls,
        figures.answered,
        figures.refused_not_run,
        figures.outcome_unknown,
        figures.lost,
        verdict(outcome),
    );
    if !outcome.passes() {
        for line in &outcome.unanswered {
            println!("  {line}");
        }
    }
    Ok(())
}

fn verdict(outcome: &Outcome) -> String {
    if outcome.passes() {
        "all held".to_owned()
    } else {
        format!("violated: {}", outcome.violated.join("; "))
    }
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or(1)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
