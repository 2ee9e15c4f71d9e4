use clap::{Arg, ArgAction, Command, value_parser};

pub fn build() -> Command {
    Command::new("monsooncove-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives and measures real monsooncove processes on loopback")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo())
        .subcommand(crate::soak::command())
        .subcommand(load())
        .subcommand(overhead())
        .subcommand(explain())
        .subcommand(store())
        .subcommand(backend())
        .subcommand(crate::policy::command())
        .subcommand(crate::slopes::command())
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a whole example deployment with everything that is meant to go wrong")
        .after_help("Exit codes: 0 every promise held; 1 one was violated or a call was lost; 2 the run failed.")
        .arg(deployment())
        .arg(number("seconds", "30", "Time during which calls are made, at least 12"))
        .arg(number("rate", "300", "Mean number of calls a second"))
        .arg(seed())
        .arg(json())
}

fn load() -> Command {
    Command::new("load")
        .about("Drive running nodes with calls of every route")
        .after_help("Exit codes: 0 every answer was whole; 1 one was not or a call was lost; 2 the run failed.")
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("ADDR")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(std::net::SocketAddr))
                .help("Addresses of nodes for callers"),
        )
        .arg(deployment())
        .arg(number("seconds", "10", "Time during which calls are made"))
        .arg(number("rate", "300", "Mean number of calls a second"))
        .arg(
            Arg::new("http1")
                .long("http1")
                .action(ArgAction::SetTrue)
                .help("Speak HTTP/1.1 in place of HTTP/2"),
        )
        .arg(seed())
        .arg(json())
}

fn overhead() -> Command {
    Command::new("overhead")
        .about("Measure what two nodes add to a call")
        .arg(number("seconds", "10", "Time during which calls are made"))
        .arg(number(
            "rate",
            "1000",
            "Mean number of calls a second, half of them through nodes",
        ))
        .arg(seed())
        .arg(json())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Follow a failed request through the decision lines of nodes")
        .after_help("Exit codes: 0 found; 1 no line names the request; 2 a file cannot be read.")
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .help("Files with log lines of nodes, in any order; - for standard input"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .help("Print the story of this request"),
        )
        .arg(
            Arg::new("failed")
                .long("failed")
                .action(ArgAction::SetTrue)
                .conflicts_with("request")
                .help("List requests that failed, by cause [default]"),
        )
        .arg(number("ids", "3", "Ids shown of each cause"))
}

fn store() -> Command {
    Command::new("store")
        .about("Run a stand-in of the key-value service until it is terminated")
        .arg(listen())
}

fn backend() -> Command {
    Command::new("backend")
        .about("Run a stand-in backend server until it is terminated")
        .arg(listen())
        .arg(region())
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

fn deployment() -> Arg {
    Arg::new("deployment")
        .long("deployment")
        .value_name("NAME")
        .default_value("farm")
        .value_parser(["farm", "society"])
        .help("Example deployment")
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(std::net::SocketAddr))
        .help("Address to listen on")
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON object as the last line")
}

fn seed() -> Arg {
    number("seed", "1", "Seed of every random choice")
}

fn region() -> Arg {
    Arg::new("region")
        .long("region")
        .value_name("NAME")
        .default_value("")
        .help("Region it runs in")
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}
