//! Does to running processes what a schedule says.

use std::io;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::schedule::{Disturbance, Fault, Harm, Line};
use crate::bench::fleet::{Fleet, Wires};
use crate::bench::operator::Operator;
use crate::standin::backend::Control;
use crate::standin::store::Faults;
use crate::standin::wire::{Mode, Wire};

/// Delay of a slow store, in milliseconds.
const STORE_DELAY_MS: u64 = 200;

/// Plays one schedule.
pub(super) struct Player<'a> {
    pub(super) fleet: &'a mut Fleet,
    pub(super) operator: &'a Operator,
    pub(super) origin: Instant,
}

/// One half of a disturbance.
#[derive(Clone, Copy)]
enum Step {
    Begin(Disturbance),
    End(Disturbance),
}

impl Step {
    fn at(&self) -> Duration {
        match self {
            Self::Begin(one) => one.at,
            Self::End(one) => one.end(),
        }
    }
}

impl Player<'_> {
    /// Plays all of `schedule`; whatever it harms is whole again at the end.
    /// Tells when that was, as graceful stops take their time.
    pub(super) async fn play(mut self, schedule: &[Disturbance]) -> io::Result<Duration> {
        let begins = schedule.iter().copied().map(Step::Begin);
        let ends = schedule.iter().copied().map(Step::End);
        let mut steps: Vec<Step> = begins.chain(ends).collect();
        steps.sort_by_key(Step::at);
        for step in steps {
            tokio::time::sleep_until((self.origin + step.at()).into()).await;
            match step {
                Step::Begin(one) => self.begin(one).await?,
                Step::End(one) => self.end(one).await?,
            }
        }
        self.fleet.set_store_faults(&Faults::default()).await?;
        Ok(self.origin.elapsed())
    }

    async fn begin(&mut self, one: Disturbance) -> io::Result<()> {
        let node = one.node;
        match one.fault {
            Fault::Kill => self.restart(&[node]).await,
            Fault::Herd(count) => self.restart(&self.from(node, count)).await,
            Fault::Stop => {
                // One that stands still would not hear it.
                self.signal(node, Signal::SIGCONT)?;
                self.fleet.stop_node(node).await?;
                self.fleet.start_node(node).await
            }
            Fault::Freeze => self.signal(node, Signal::SIGSTOP),
            Fault::Harm(line, harm) => {
                self.harm(node, line, mode(harm));
                Ok(())
            }
            Fault::StoreDown | Fault::StoreHangs | Fault::StoreSlow | Fault::AnswersLost(_) => {
                self.fleet.set_store_faults(&store_faults(one.fault)).await
            }
            Fault::ColdStart => self.control(node, &cold_start()).await,
            Fault::Failing => self.control(node, &failing(true)).await,
            Fault::Slow(times) => self.control(node, &slow(times)).await,
            Fault::Sheet => {
                // A store that is away takes no sheet; the next one tries again.
                let _ = self.operator.apply().await;
                Ok(())
            }
        }
    }

    async fn end(&mut self, one: Disturbance) -> io::Result<()> {
        let node = one.node;
        match one.fault {
            Fault::Freeze => self.signal(node, Signal::SIGCONT),
            Fault::Harm(line, _) => {
                self.harm(node, line, Mode::Pass);
                Ok(())
            }
            Fault::StoreDown | Fault::StoreHangs | Fault::StoreSlow | Fault::AnswersLost(_) => {
                self.fleet.set_store_faults(&Faults::default()).await
            }
            Fault::Failing => self.control(node, &failing(false)).await,
            Fault::Slow(_) => self.control(node, &slow(1)).await,
            Fault::Kill | Fault::Herd(_) | Fault::Stop | Fault::ColdStart | Fault::Sheet => Ok(()),
        }
    }

    fn from(&self, first: usize, count: usize) -> Vec<usize> {
        let nodes = self.fleet.upstreams().len();
        (first..first + count).map(|node| node % nodes).collect()
    }

    async fn restart(&mut self, nodes: &[usize]) -> io::Result<()> {
        for &node in nodes {
            self.fleet.kill_node(node).await?;
        }
        for &node in nodes {
            self.fleet.start_node(node).await?;
        }
        Ok(())
    }

    fn signal(&self, node: usize, signal: Signal) -> io::Result<()> {
        self.fleet.upstreams()[node].signal(signal)
    }

    async fn control(&self, node: usize, control: &Control) -> io::Result<()> {
        self.fleet.control(node, control).await
    }

    fn harm(&self, node: usize, line: Line, mode: Mode) {
        if let Some(wires) = &self.fleet.upstreams()[node].wires {
            wire(wires, line).set(mode);
        }
    }
}

fn wire(wires: &Wires, line: Line) -> &Wire {
    match line {
        Line::Peer => &wires.peer,
        Line::Control => &wires.control,
        Line::Store => &wires.store,
        Line::Backend => &wires.backend,
    }
}

const fn mode(harm: Harm) -> Mode {
    match harm {
        Harm::Cut => Mode::Cut,
        Harm::Silence => Mode::Hold,
        Harm::Deaf => Mode::HoldAnswers,
        Harm::Delay(time) => Mode::Delay(time),
    }
}

fn store_faults(fault: Fault) -> Faults {
    let none = Faults::default();
    match fault {
        Fault::StoreDown => Faults { down: true, ..none },
        Fault::StoreHangs => Faults { hang: true, ..none },
        Fault::StoreSlow => Faults {
            delay_ms: STORE_DELAY_MS,
            ..none
        },
        Fault::AnswersLost(writes) => Faults {
            lose_answers: writes,
            ..none
        },
        _ => none,
    }
}

fn cold_start() -> Control {
    Control {
        restart: true,
        ..Control::default()
    }
}

fn failing(fails: bool) -> Control {
    Control {
        fail: Some(fails),
        ..Control::default()
    }
}

fn slow(times: u32) -> Control {
    Control {
        slowdown: Some(times),
        ..Control::default()
    }
}
