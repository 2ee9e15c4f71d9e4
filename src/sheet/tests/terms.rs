//! Optional columns: how far and for how long a call of a route may go.

use std::time::Duration;

use crate::plan::{Terms, Version};
use crate::sheet::{Sheet, example, parse};

/// The farm's sheet with two more columns, filled for the first route.
fn with_terms(cells: &str) -> String {
    let mut is_first = true;
    let lines = example::FARM.lines().map(|line| {
        let more = match line.split(',').next() {
            Some("kind") => ",objective_ms,attempts",
            Some("route") if is_first => {
                is_first = false;
                cells
            }
            _ => "",
        };
        format!("{line}{more}\n")
    });
    lines.collect()
}

fn sheet(cells: &str) -> Sheet {
    parse(with_terms(cells).as_bytes()).expect("a valid sheet")
}

fn terms(cells: &str) -> Terms {
    sheet(cells).plan(Version(1)).routes[0].terms.clone()
}

fn fault(cells: &str) -> String {
    let faults = parse(with_terms(cells).as_bytes()).expect_err("the sheet has a fault");
    faults[0].to_string()
}

cases! {
    sheet_may_lack_optional_columns:
        assert_eq!(example::farm().plan(Version(1)).routes[0].terms, Terms::default());
    blank_cells_say_nothing: assert_eq!(sheet(""), example::farm());
    columns_that_say_nothing_are_not_written:
        assert_eq!(sheet("").to_csv(), example::FARM);
    objective_and_attempts_reach_the_plan: {
        let terms = terms(",300,2");
        assert_eq!(terms.objective, Some(Duration::from_millis(300)));
        assert_eq!(terms.attempts, Some(2));
    };
    one_may_be_blank: assert_eq!(terms(",,3").objective, None);
    canonical_text_keeps_them:
        assert_eq!(parse(sheet(",300,2").to_csv().as_bytes()), Ok(sheet(",300,2")));
    change_of_one_is_shown: {
        let changes = sheet(",300,2").diff(&sheet(",300,3")).to_string();
        assert!(changes.ends_with(": attempts 2 -> 3\n"), "{changes}");
    };
    objective_past_the_deadline_is_a_fault: {
        let fault = fault(",900000000,");
        assert!(fault.contains("(objective_ms)"), "{fault}");
    };
    no_attempt_is_a_fault: {
        let fault = fault(",,0");
        assert!(fault.contains("write a whole number from 1 to 16"), "{fault}");
    };
}
