mod compile;
mod convergence;
mod failures;
mod fake_store;
mod fleet;
mod live;
mod merging;

use super::InstanceId;
use super::message::News;
use super::text::TextId;

fn empty_news() -> News {
    News {
        from: InstanceId(1),
        plan: TextId::default(),
        delta: None,
        entries: Vec::new(),
        accusations: Vec::new(),
    }
}
