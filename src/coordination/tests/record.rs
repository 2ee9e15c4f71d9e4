//! The status of a roll-out in the store, under lost answers and two coordinators.

use std::time::Duration;

use crate::clock::Time;
use crate::coordination::record::{Call, Record};
use crate::coordination::{Saved, StoredStatus};
use crate::plan::Rollout;
use crate::rollout::{State, Status};
use crate::store::Revision;

fn order() -> Rollout {
    Rollout {
        service: "odber".into(),
        target_version: "v2".into(),
        period: Duration::from_secs(12),
    }
}

fn status(state: State) -> Status {
    Status {
        service: "odber".into(),
        target_version: "v2".into(),
        state,
    }
}

fn stored(state: State, revision: u64) -> StoredStatus {
    StoredStatus {
        status: Some(status(state)),
        revision: Some(Revision(revision)),
    }
}

fn loaded(stored: StoredStatus) -> Record {
    let mut record = Record::default();
    assert_eq!(
        record.next_call(Time::ZERO, &order(), State::Running),
        Some(Call::Load)
    );
    record.on_loaded(Time::ZERO, Some(stored));
    record
}

/// The write of a successor changes the revision, so that its predecessor can end nothing.
fn successor_claims_the_record() {
    let mut record = loaded(stored(State::Running, 7));
    let claim = Call::Save(status(State::Running), Some(Revision(7)));
    assert_eq!(
        record.next_call(Time::ZERO, &order(), State::Running),
        Some(claim)
    );
    assert!(!record.is_own());
    record.on_saved(
        Time::ZERO,
        status(State::Running),
        Some(Saved::Yes(Revision(8))),
    );
    assert!(record.is_own());
    assert_eq!(record.next_call(Time::ZERO, &order(), State::Running), None);
}

fn conflict_is_adopted() {
    let mut record = loaded(stored(State::Running, 7));
    record.next_call(Time::ZERO, &order(), State::Done);
    let other = Saved::Conflict(stored(State::RolledBack, 9));
    record.on_saved(Time::ZERO, status(State::Done), Some(other));
    assert!(!record.is_own());
    assert_eq!(record.state(&order()), Some(State::RolledBack));
}

fn lost_answer_is_read_back() {
    let mut record = loaded(StoredStatus::default());
    record.next_call(Time::ZERO, &order(), State::Running);
    record.on_saved(Time::ZERO, status(State::Running), Some(Saved::Unknown));
    assert_eq!(record.state(&order()), None);
    assert_eq!(record.next_call(Time::ZERO, &order(), State::Running), None);
    let later = Time::from_millis(500);
    assert_eq!(
        record.next_call(later, &order(), State::Running),
        Some(Call::Load)
    );
}

cases! {
    one_call_runs_at_a_time: {
        let mut record = Record::default();
        record.next_call(Time::ZERO, &order(), State::Running);
        assert_eq!(record.next_call(Time::ZERO, &order(), State::Running), None);
    };
    successor_writes_before_it_acts: successor_claims_the_record();
    record_of_another_coordinator_is_adopted: conflict_is_adopted();
    write_without_an_answer_is_read_back: lost_answer_is_read_back();
    status_of_an_earlier_order_starts_anew: {
        let mut earlier = stored(State::RolledBack, 3);
        earlier.status = earlier.status.map(|status| Status { target_version: "v1".into(), ..status });
        assert_eq!(loaded(earlier).state(&order()), Some(State::Running));
    };
    recorded_end_needs_no_further_write:
        assert_eq!(loaded(stored(State::Done, 3)).next_call(Time::ZERO, &order(), State::Done), None);
}
