use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use monsooncove::standin::backend;
use monsooncove::{Error, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

pub async fn run(matches: &ArgMatches) -> Result<bool> {
    match matches.subcommand() {
        Some(("backend", matches)) => run_backend(matches).await,
        Some(("policy", matches)) => crate::policy::run(matches).await,
        _ => Ok(false),
    }
}

async fn run_backend(matches: &ArgMatches) -> Result<bool> {
    let settings = backend::Settings {
        region: text(matches, "region"),
        slots: number(matches, "slots"),
        service_time: Duration::from_micros(number(matches, "service-us").into()),
        noise: f64::from(number(matches, "noise-percent")) / 100.0,
        cold_allowance: number(matches, "cold-allowance"),
        cold_time: Duration::from_millis(number(matches, "cold-ms").into()),
        seed: number(matches, "seed").into(),
        ..backend::Settings::default()
    };
    let (listener, shutdown) = stand_in(matches).await?;
    backend::serve(listener, settings, shutdown).await;
    Ok(true)
}

async fn stand_in(matches: &ArgMatches) -> Result<(TcpListener, CancellationToken)> {
    let address: SocketAddr = *matches.get_one("listen").expect("has a default");
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen {
            address: address.to_string(),
            source,
        })?;
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    let shutdown = CancellationToken::new();
    let token = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminated.recv() => {}
            _ = interrupted.recv() => {}
        }
        token.cancel();
    });
    println!(r#"{{"ready":true,"listen":"{}"}}"#, listener.local_addr()?);
    Ok((listener, shutdown))
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one(name).copied().unwrap_or_default()
}
