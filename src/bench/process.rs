//! A child process that is ended by its own id.

use std::ffi::OsStr;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// Environment variable that lets processes write to standard error.
const VERBOSE: &str = "BENCH_VERBOSE";
/// Longest wait for the line that tells that a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses a process reports once it is ready.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Ready {
    /// Of a stand-in.
    pub listen: Option<SocketAddr>,
    /// Of a node, for callers.
    pub caller: Option<SocketAddr>,
    /// Of a node, for calls from nodes.
    pub peer: Option<SocketAddr>,
    /// Of a node, for control.
    pub control: Option<SocketAddr>,
}

/// A running child, killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts `program` and keeps its standard output.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start<A: AsRef<OsStr>>(name: &str, program: &Path, args: &[A]) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr())
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| described(name, program, &error))?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no standard output"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            stdout: BufReader::new(stdout).lines(),
        })
    }

    /// Waits for the line that tells that the process is ready.
    ///
    /// # Errors
    ///
    /// Fails when the process ends or stays silent.
    pub async fn ready(&mut self) -> io::Result<Ready> {
        let line = tokio::time::timeout(READY_TIMEOUT, self.stdout.next_line())
            .await
            .map_err(|_| self.fault("is not ready in time"))??
            .ok_or_else(|| {
                self.fault("ended before it was ready; set BENCH_VERBOSE=1 to see why")
            })?;
        serde_json::from_str(&line).map_err(|_| self.fault("printed no ready line"))
    }

    /// Name given at the start.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Number that the system knows it by; none once it was waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.child.id().ok_or_else(|| self.fault("has ended"))?;
        let id = i32::try_from(id).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        tokio::time::timeout(limit, self.child.wait())
            .await
            .map_err(|_| self.fault("does not end in time"))?
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    fn fault(&self, what: &str) -> io::Error {
        io::Error::other(format!("{} {what}", self.name))
    }
}

fn stderr() -> Stdio {
    if std::env::var_os(VERBOSE).is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}

fn described(name: &str, program: &Path, error: &io::Error) -> io::Error {
    let program = program.display();
    io::Error::new(
        error.kind(),
        format!("{name}: cannot start {program}: {error}; build all binaries first"),
    )
}
