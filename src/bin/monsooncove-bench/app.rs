use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use monsooncove::bench::demo::{self, Deployment, Run};
use monsooncove::bench::fleet::Programs;
use monsooncove::bench::report::Report;
use monsooncove::bench::{explain, load, overhead};
use monsooncove::standin::caller::Protocol;
use monsooncove::standin::{backend, store};
use monsooncove::{Error, Result};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Runs a subcommand. Tells whether everything held.
pub async fn run(matches: &ArgMatches) -> Result<bool> {
    match matches.subcommand() {
        Some(("demo", matches)) => run_demo(matches).await,
        Some(("soak", matches)) => crate::soak::run(matches).await,
        Some(("load", matches)) => Ok(run_load(matches).await),
        Some(("overhead", matches)) => run_overhead(matches).await,
        Some(("explain", matches)) => run_explain(matches),
        Some(("store", matches)) => run_store(matches).await,
        Some(("backend", matches)) => run_backend(matches).await,
        Some(("slopes", matches)) => crate::slopes::run(matches).await,
        Some(("policy", matches)) => crate::policy::run(matches).await,
        _ => Ok(false),
    }
}

async fn run_demo(matches: &ArgMatches) -> Result<bool> {
    let settings = demo::Settings {
        programs: Programs::beside_this()?,
        deployment: deployment(matches),
        duration: seconds(matches).max(demo::SHORTEST),
        rate: number(matches, "rate").into(),
        seed: number(matches, "seed").into(),
    };
    let bar = progress_bar(settings.duration);
    let run = demo::run(settings, |due| bar.set_position(millis(due))).await?;
    bar.finish_and_clear();
    Ok(print_run(&run, matches))
}

async fn run_load(matches: &ArgMatches) -> bool {
    let targets = matches.get_many::<SocketAddr>("target");
    let settings = load::Settings {
        targets: targets.into_iter().flatten().copied().collect(),
        deployment: deployment(matches),
        duration: seconds(matches),
        rate: number(matches, "rate").into(),
        protocol: if matches.get_flag("http1") {
            Protocol::Http1
        } else {
            Protocol::Http2
        },
        seed: number(matches, "seed").into(),
    };
    let bar = progress_bar(settings.duration);
    let run = load::run(settings, |due| bar.set_position(millis(due))).await;
    bar.finish_and_clear();
    print_run(&run, matches)
}

async fn run_overhead(matches: &ArgMatches) -> Result<bool> {
    let settings = overhead::Settings {
        programs: Programs::beside_this()?,
        duration: seconds(matches),
        rate: number(matches, "rate").into(),
        seed: number(matches, "seed").into(),
    };
    let bar = progress_bar(settings.duration);
    let overhead = overhead::run(settings, |due| bar.set_position(millis(due))).await?;
    bar.finish_and_clear();
    println!("added by two nodes, in milliseconds");
    println!("p50   {:>8.3}", overhead.added_p50_ms);
    println!("p99   {:>8.3}", overhead.added_p99_ms);
    println!("p99.9 {:>8.3}", overhead.added_p999_ms);
    if matches.get_flag("json") {
        println!("{}", overhead.to_json());
    }
    Ok(overhead.figures.passes())
}

fn run_explain(matches: &ArgMatches) -> Result<bool> {
    let mut text = String::new();
    for name in matches.get_many::<String>("logs").into_iter().flatten() {
        if name == "-" {
            std::io::stdin().read_to_string(&mut text)?;
        } else {
            text += &std::fs::read_to_string(name)?;
        }
    }
    let lines = explain::read(text.lines());
    let Some(request) = matches.get_one::<String>("request") else {
        let ids = usize::try_from(number(matches, "ids")).unwrap_or(usize::MAX);
        print!("{}", explain::failed(&lines, ids));
        return Ok(true);
    };
    let story = explain::story(&lines, request);
    match &story {
        Some(story) => print!("{story}"),
        None => println!("no line names request {request}; it may have been a sampled success"),
    }
    Ok(story.is_some())
}

async fn run_store(matches: &ArgMatches) -> Result<bool> {
    let (listener, shutdown) = stand_in(matches).await?;
    store::serve(listener, store::Settings::default(), shutdown).await;
    Ok(true)
}

async fn run_backend(matches: &ArgMatches) -> Result<bool> {
    let settings = backend::Settings {
        region: matches
            .get_one::<String>("region")
            .cloned()
            .unwrap_or_default(),
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

fn print_run(run: &Run, matches: &ArgMatches) -> bool {
    let report = Report {
        books: &run.books,
        ledger: &run.ledger,
    };
    print!("{report}");
    let figures = report.figures();
    if matches.get_flag("json") {
        println!("{}", figures.to_json());
    }
    figures.passes()
}

/// A bar on standard error, on a terminal only.
fn progress_bar(duration: Duration) -> ProgressBar {
    let bar = ProgressBar::new(millis(duration));
    let style = ProgressStyle::with_template("{wide_bar} {percent:>3}% {eta}");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn deployment(matches: &ArgMatches) -> Deployment {
    let name = matches.get_one::<String>("deployment").map(String::as_str);
    match name {
        Some("society") => Deployment::Society,
        _ => Deployment::Farm,
    }
}

fn seconds(matches: &ArgMatches) -> Duration {
    Duration::from_secs(number(matches, "seconds").into())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn number(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one(name).copied().unwrap_or_default()
}
