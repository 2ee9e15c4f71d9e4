//! Runs the tool and writes down what it was given and what it said.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output, Stdio};

use monsooncove::standin;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// A transcript, and the store that the tool talks to.
pub struct Session {
    pub transcript: String,
    pub store: Option<SocketAddr>,
    pub runtime: Runtime,
    pub shutdown: CancellationToken,
    _guard: DropGuard,
}

impl Session {
    /// A session without a store.
    pub fn offline() -> Self {
        let shutdown = CancellationToken::new();
        Self {
            transcript: String::new(),
            store: None,
            runtime: Runtime::new().expect("a runtime can be built"),
            _guard: shutdown.clone().drop_guard(),
            shutdown,
        }
    }

    /// A session with an empty store.
    pub fn start() -> Self {
        let mut session = Self::offline();
        let listener = session
            .runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a port is free");
        session.store = listener.local_addr().ok();
        let settings = standin::store::Settings::default();
        let store = standin::store::serve(listener, settings, session.shutdown.clone());
        session.runtime.spawn(store);
        session
    }

    /// The tool with `args`, not yet started.
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_monsooncove-sheet"));
        command.args(args).env_remove("MONSOONCOVE_STORE");
        if let Some(store) = self.store {
            command.env("MONSOONCOVE_STORE", store.to_string());
        }
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Runs the tool and writes the run down. Returns standard output.
    pub fn run(&mut self, args: &[&str], stdin: &str) -> String {
        let output = finish(&mut self.command(args), stdin);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        let code = output.status.code().unwrap_or(-1);
        writeln!(self.transcript, "$ monsooncove-sheet {}", args.join(" ")).expect("it is memory");
        self.transcript += &stdout;
        for line in stderr.lines() {
            writeln!(self.transcript, "! {line}").expect("it is memory");
        }
        writeln!(self.transcript, "exit {code}\n").expect("it is memory");
        stdout
    }

    /// Sets the faults of the store.
    pub fn faults(&mut self, faults: &str) {
        let store = self.store.expect("the session has a store");
        let mut stream = TcpStream::connect(store).expect("the store listens");
        let length = faults.len();
        let head = format!("POST /-/faults HTTP/1.1\r\nhost: store\r\ncontent-length: {length}");
        let request = format!("{head}\r\nconnection: close\r\n\r\n{faults}");
        stream
            .write_all(request.as_bytes())
            .expect("the store reads");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("the store answers");
        assert!(answer.starts_with("HTTP/1.1 2"), "{answer}");
        writeln!(self.transcript, "# store: {faults}\n").expect("it is memory");
    }
}

/// Gives `stdin` to `command` and waits for its end.
pub fn finish(command: &mut Command, stdin: &str) -> Output {
    let mut child = command.spawn().expect("the tool starts");
    let mut pipe = child.stdin.take().expect("standard input is piped");
    // The tool may end without having read all of it.
    let _ = pipe.write_all(stdin.as_bytes());
    drop(pipe);
    child.wait_with_output().expect("the tool ends")
}

/// Compares a transcript with its golden file, times and ports masked.
macro_rules! golden {
    ($session:expr) => {
        insta::with_settings!({
            omit_expression => true,
            filters => vec![
                (r"127\.0\.0\.1:\d+", "127.0.0.1:PORT"),
                (r" *\d+ ms\b", " N ms"),
                (r" +after\n", " after\n"),
                (r#"_ms":\d+"#, r#"_ms":N"#),
            ],
        }, {
            insta::assert_snapshot!($session.transcript)
        })
    };
}

pub(crate) use golden;
