use clap::{Arg, ArgAction, Command, value_parser};

pub fn build() -> Command {
    Command::new("monsooncove-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives and measures real monsooncove processes on loopback")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(backend())
        .subcommand(crate::policy::command())
}

fn backend() -> Command {
    Command::new("backend")
        .about("Run a stand-in backend server until it is terminated")
        .arg(listen())
        .arg(text("region", "Region it runs in"))
        .arg(number("slots", "9", "Requests that run at the same time"))
        .arg(number(
            "service-us",
            "5000",
            "Mean time one request runs, in microseconds",
        ))
        .arg(number(
            "noise-percent",
            "50",
            "Spread of the service time, in percent of it",
        ))
        .arg(number(
            "cold-allowance",
            "2",
            "Requests in hand that a cold start bears",
        ))
        .arg(number(
            "cold-ms",
            "1000",
            "Length of a cold start, in milliseconds",
        ))
        .arg(seed())
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help("Address to listen on")
}

fn seed() -> Arg {
    number("seed", "1", "Seed of every random choice")
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .action(ArgAction::Set)
        .default_value("")
        .help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}
