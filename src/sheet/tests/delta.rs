use crate::sheet::{Sheet, delta, example, parse};

fn edited(from: &str, to: &str) -> Sheet {
    parse(example::FARM.replace(from, to).as_bytes()).expect("the edit keeps the sheet valid")
}

fn zone_out() -> Sheet {
    edited("morava-a,morava,in", "morava-a,morava,out")
}

cases! {
    delta_leads_to_the_other_sheet: {
        let delta = example::farm().diff(&zone_out());
        assert_eq!(example::farm().apply(&delta), Ok(zone_out()));
    };
    delta_lists_only_rows_that_differ: {
        let delta = example::farm().diff(&zone_out());
        insta::assert_snapshot!(delta, @r"~ zone morava-a: state in -> out");
    };
    delta_for_another_sheet_does_not_fit: {
        let delta = example::farm().diff(&zone_out());
        let refused = zone_out().apply(&delta);
        assert!(matches!(refused, Err(delta::Error::Base(key)) if key.name == "morava-a"));
    };
    delta_that_removes_a_region_in_use_is_refused: {
        let mut delta = example::farm().diff(&Sheet::default());
        delta.changes.truncate(1);
        let refused = example::farm().apply(&delta);
        assert!(matches!(refused, Err(delta::Error::Invalid(faults)) if !faults.is_empty()));
    };
    same_sheets_have_no_delta:
        assert!(example::farm().diff(&example::farm()).is_empty());
}
