use std::io::{Error, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::{Importance, Journal, Queue};

const LIMIT: Duration = Duration::from_secs(20);

fn line(number: usize) -> String {
    format!("{number}\n")
}

fn full(importance: Importance, lines: usize) -> Vec<String> {
    let mut queue = Queue::default();
    for number in 0..lines {
        queue.push(importance, line(number));
    }
    queue.take()
}

fn successes_are_dropped_alone() {
    let mut queue = Queue::default();
    for number in 0..1_000 {
        queue.push(Importance::Success, line(number));
        queue.push(Importance::Failure, line(number));
    }
    let taken = queue.take();
    assert_eq!(taken.len(), 256 + 1_000 + 1);
    assert_eq!(taken[1_256], "{\"dropped\":744,\"kind\":\"successes\"}\n");
}

fn beliefs_go_first() {
    let mut queue = Queue::default();
    queue.push(Importance::Success, line(1));
    queue.push(Importance::Failure, line(2));
    queue.push(Importance::Belief, line(3));
    assert_eq!(queue.take(), [line(3), line(2), line(1)]);
}

/// A reader that takes nothing until it is told to.
struct Stuck {
    go: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        self.go.recv().map_err(Error::other)?;
        self.written.send(bytes.to_vec()).map_err(Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<(), Error> {
        Ok(())
    }
}

fn stuck_reader_holds_nobody_up() {
    let (go, told) = channel();
    let (written, read) = channel();
    let journal = Journal::start(Stuck { go: told, written }).expect("a thread");
    for number in 0..10_000 {
        journal.push(Importance::Failure, line(number));
    }
    // The last write tells what was dropped, however many there are.
    let mut text = String::new();
    while !text.contains("\"kind\":\"failures\"") {
        go.send(()).expect("it waits");
        let written = read.recv_timeout(LIMIT).expect("a write");
        text += &String::from_utf8(written).expect("text");
    }
    assert!(text.lines().count() <= 2 * 2_048 + 1);
}

cases! {
    lines_over_the_bound_are_counted: {
        let taken = full(Importance::Belief, 1_030);
        assert_eq!(taken.len(), 1_025);
        assert_eq!(taken[1_024], "{\"dropped\":6,\"kind\":\"changes\"}\n");
    };
    successes_never_cost_a_failure_its_line: successes_are_dropped_alone();
    most_important_lines_go_first: beliefs_go_first();
    stuck_reader_costs_lines_and_no_time: stuck_reader_holds_nobody_up();
}

/// Takes its time for each line.
struct Slow(std::sync::mpsc::Sender<()>);

impl std::io::Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::park_timeout(std::time::Duration::from_millis(50));
        // The test reads as long as it runs.
        let _ = self.0.send(());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn last_line_is_written_before_the_end() {
    let (written, lines) = std::sync::mpsc::channel();
    let journal = super::Journal::start(Slow(written)).expect("a thread");
    journal.push(super::Importance::Belief, "stopped\n".to_owned());
    journal.flush(std::time::Duration::from_secs(30));
    assert!(lines.try_recv().is_ok());
}
