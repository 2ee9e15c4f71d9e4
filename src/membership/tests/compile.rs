//! Texts are kept and passed on; plans come into force as they are compiled.

use super::fleet::Fleet;
use crate::membership::core::{Action, Core};
use crate::membership::text::SheetText;
use crate::plan::{Plan, Version};

fn relay_core(fleet: &mut Fleet) -> &mut Core {
    let relay = fleet.relays("morava-a").remove(0);
    &mut fleet.node(&relay).core
}

fn text(version: u64) -> SheetText {
    SheetText::new(Version(version), format!("sheet {version}\n"))
}

fn plan(version: u64) -> Plan {
    Plan {
        version: Version(version),
        ..Plan::default()
    }
}

cases! {
    text_is_passed_on_before_it_is_compiled: {
        let mut fleet = Fleet::settled(&["morava"], 2);
        let now = fleet.now;
        let mut actions = Vec::new();
        relay_core(&mut fleet).on_store_text(now, text(2), &mut actions);
        assert!(matches!(actions.first(), Some(Action::Push { .. })));
        assert!(matches!(actions.last(), Some(Action::Compile(_))));
    };
    plan_that_cannot_be_compiled_leaves_the_one_before_in_force: {
        let mut fleet = Fleet::settled(&["morava"], 2);
        let now = fleet.now;
        let core = relay_core(&mut fleet);
        let mut actions = Vec::new();
        core.on_store_text(now, text(2), &mut actions);
        core.on_compiled(now, text(2).stamp(), Err("no such column".into()), &mut actions);
        assert_eq!(core.version(), Version(1));
        assert_eq!(core.stamp(), text(2).stamp());
    };
    plan_that_is_compiled_late_does_not_replace_a_newer_one: {
        let mut fleet = Fleet::settled(&["morava"], 2);
        let now = fleet.now;
        let core = relay_core(&mut fleet);
        let mut actions = Vec::new();
        core.on_store_text(now, text(2), &mut actions);
        core.on_store_text(now, text(3), &mut actions);
        core.on_compiled(now, text(3).stamp(), Ok(plan(3)), &mut actions);
        core.on_compiled(now, text(2).stamp(), Ok(plan(2)), &mut actions);
        assert_eq!(core.version(), Version(3));
    };
}
