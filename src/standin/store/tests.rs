use std::time::Duration;

use super::state::State;
use crate::clock::Time;
use crate::store::{Change, Expect, Lease, Revision, Watched, Write, WriteId, protocol::Written};

fn put(key: &str, expect: Expect, lease: Option<Lease>) -> Write {
    Write {
        key: key.into(),
        value: Some("value".into()),
        expect,
        lease,
        id: WriteId(7),
    }
}

fn deleted_after(state: &State, after: Revision) -> bool {
    matches!(
        state.changes("/", after),
        Some(Watched::Changes { changes, .. })
            if matches!(changes.as_slice(), [Change::Delete { .. }])
    )
}

cases! {
    swap_on_an_older_revision_is_not_applied: {
        let mut state = State::default();
        assert_eq!(state.write(put("/a", Expect::Absent, None)), Written::Applied(Revision(1)));
        assert_eq!(
            state.write(put("/a", Expect::Revision(Revision(1)), None)),
            Written::Applied(Revision(2))
        );
        let late = state.write(put("/a", Expect::Revision(Revision(1)), None));
        assert!(matches!(late, Written::NotApplied(Some(record)) if record.revision == Revision(2)));
    };
    keys_vanish_when_their_lease_lapses: {
        let mut state = State::default();
        let lease = state.grant(Time::ZERO, Duration::from_secs(2));
        state.write(put("/a", Expect::Absent, Some(lease)));
        state.lapse(Time::from_millis(1_999));
        assert!(state.get("/a").is_some());
        state.lapse(Time::from_millis(2_000));
        assert_eq!(state.get("/a"), None);
        assert!(deleted_after(&state, Revision(1)));
        assert!(!state.renew(Time::from_millis(2_000), lease));
    };
    renewal_extends_a_lease_by_its_time_to_live: {
        let mut state = State::default();
        let lease = state.grant(Time::ZERO, Duration::from_secs(2));
        assert!(state.renew(Time::from_millis(1_500), lease));
        state.lapse(Time::from_millis(3_000));
        assert!(state.renew(Time::from_millis(3_000), lease));
    };
    write_under_a_lapsed_lease_is_not_applied: {
        let mut state = State::default();
        let written = state.write(put("/a", Expect::Absent, Some(Lease(9))));
        assert_eq!(written, Written::NotApplied(None));
    };
    watch_sees_only_its_prefix: {
        let mut state = State::default();
        state.write(put("/a/1", Expect::Absent, None));
        assert_eq!(state.changes("/b/", Revision(0)), None);
        assert!(state.changes("/a/", Revision(0)).is_some());
        assert_eq!(state.changes("/a/", Revision(1)), None);
    };
}
