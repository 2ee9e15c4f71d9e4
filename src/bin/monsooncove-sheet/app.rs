//! Runs the command that the command line names.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use monsooncove::acceptance::Error;
use monsooncove::plan::Version;
use monsooncove::sheet::example;
use monsooncove::store;
use monsooncove::store::http::{self, Http};

use crate::exit::{Exit, Failure, Result};
use crate::known::{self, Known};
use crate::{apply, check, diff, paint, show, status};

/// Longest time one attempt at the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::new(Exit::Unknown, &error))?;
    runtime.block_on(dispatch(matches))
}

async fn dispatch(matches: &ArgMatches) -> Result<Exit> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(Exit::Usage);
    };
    match name {
        "check" => check::run(file(matches), json(matches)),
        "example" => Ok(print_example(matches)),
        "diff" => diff::run(&client(matches), file(matches), json(matches)).await,
        "apply" => apply::run(&client(matches), &apply_settings(matches)).await,
        "show" => show::run(&client(matches), version(matches, "at")).await,
        "history" => show::history(&client(matches), json(matches)).await,
        "status" => status::run(known(matches).await?, json(matches)).await,
        _ => Ok(Exit::Usage),
    }
}

async fn known(matches: &ArgMatches) -> Result<Known> {
    match matches.get_one::<SocketAddr>("node") {
        Some(&node) => known::from_node(node).await,
        None => known::from_store(&client(matches))
            .await
            .map_err(|mut failure| {
                failure.message += "; or ask a node with --node";
                failure
            }),
    }
}

fn apply_settings(matches: &ArgMatches) -> apply::Settings<'_> {
    let limit: u32 = matches.get_one("wait-limit").copied().unwrap_or_default();
    apply::Settings {
        file: file(matches),
        base: version(matches, "base"),
        after: version(matches, "after"),
        wait: matches
            .get_flag("wait")
            .then(|| Duration::from_secs(limit.into())),
        json: json(matches),
    }
}

fn print_example(matches: &ArgMatches) -> Exit {
    let deployment = matches.get_one::<String>("deployment");
    paint::text(match deployment.map(String::as_str) {
        Some("society") => example::SOCIETY,
        _ => example::FARM,
    });
    Exit::Done
}

fn client(matches: &ArgMatches) -> Http {
    let address: SocketAddr = *matches.get_one("store").expect("the argument is required");
    let settings = http::Settings {
        attempt_timeout: STORE_TIMEOUT,
        seed: rand::random(),
        ..http::Settings::default()
    };
    Http::new(address, settings)
}

fn file(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("file").map_or("", String::as_str)
}

fn json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

fn version(matches: &ArgMatches, name: &str) -> Option<Version> {
    matches.get_one(name).copied().map(Version)
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::new(Exit::Unknown, &error)
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::new(Exit::Unknown, &error)
    }
}
