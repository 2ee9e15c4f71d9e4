mod convergence;
mod failures;
mod fleet;
mod lattice;
mod live;
mod shelf;

use super::Id;
use super::message::News;
use super::text::Stamp;

fn nothing() -> News {
    News {
        from: Id(1),
        plan: Stamp::default(),
        delta: None,
        entries: Vec::new(),
        accusations: Vec::new(),
    }
}
