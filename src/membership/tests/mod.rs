mod compile;
mod convergence;
mod failures;
mod fake_store;
mod fleet;
mod live;
mod merging;

use super::Id;
use super::message::News;
use super::text::Stamp;

fn empty_news() -> News {
    News {
        from: Id(1),
        plan: Stamp::default(),
        delta: None,
        entries: Vec::new(),
        accusations: Vec::new(),
    }
}
