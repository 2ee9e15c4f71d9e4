//! Transcripts of whole sessions, with times and ports masked.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Patterns of what differs from run to run, with what stands in their place.
const MASKS: [(&str, &str); 8] = [
    (r"backend-boot: [^\n]*", "backend-boot: [boot]"),
    (r"x-ran-in: [^\n]*", "x-ran-in: [region]"),
    (r"127\.0\.0\.1:\d+", "[address]"),
    (r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z?", "[time]"),
    (r"date: [^\n]*", "date: [time]"),
    (r"\b\d+(\.\d+)? ?(ms|s)\b", "[duration]"),
    (r"traceparent: [^\n]*", "traceparent: [trace]"),
    (r"/tmp/[^\s:]*/", "[directory]/"),
];

/// Records what goes in and what comes out.
#[derive(Default)]
pub struct Session {
    transcript: String,
}

impl Session {
    /// Runs a binary to its end.
    pub fn run(&mut self, program: &str, args: &[&str], input: &str) {
        let name = Path::new(program).file_name().unwrap().to_string_lossy();
        self.line(&format!("$ {name} {}", args.join(" ")));
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A program that reads no input may have closed it.
        let _ = std::io::Write::write_all(&mut stdin, input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().unwrap();
        self.text(&String::from_utf8_lossy(&output.stdout));
        self.text(&String::from_utf8_lossy(&output.stderr));
        self.line(&format!("exit code {}", output.status.code().unwrap()));
    }

    /// Sends one request over a connection of its own.
    pub async fn call(&mut self, address: SocketAddr, request: &str) {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let wire = format!(
            "{}\r\nconnection: close\r\n\r\n",
            request.replace('\n', "\r\n")
        );
        stream.write_all(wire.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.unwrap();
        self.prefixed("> ", request);
        let answer = String::from_utf8_lossy(&answer).replace('\r', "");
        self.prefixed("< ", answer.trim_end());
    }

    /// Records a remark.
    pub fn line(&mut self, line: &str) {
        writeln!(self.transcript, "{line}").unwrap();
    }

    /// Records output.
    pub fn text(&mut self, text: &str) {
        self.transcript.push_str(text);
        if !text.is_empty() && !text.ends_with('\n') {
            self.transcript.push('\n');
        }
    }

    /// Compares the transcript with the golden file `name`.
    pub fn assert(&self, name: &str) {
        insta::with_settings!({ filters => MASKS.to_vec(), prepend_module_to_snapshot => false, snapshot_path => "../snapshots", omit_expression => true }, {
            insta::assert_snapshot!(name, self.transcript);
        });
    }

    fn prefixed(&mut self, prefix: &str, text: &str) {
        for line in text.lines() {
            let line = format!("{prefix}{line}");
            self.line(line.trim_end());
        }
    }
}
