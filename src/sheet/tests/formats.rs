use crate::sheet::{example, parse};

fn same_as_farm(bytes: &[u8]) {
    assert_eq!(parse(bytes), Ok(example::farm()));
}

fn refused_rows(text: &str) -> Vec<usize> {
    let faults = parse(text.as_bytes()).expect_err("the sheet has faults");
    faults.iter().map(|fault| fault.row).collect()
}

/// The farm's sheet with its columns in reverse order.
fn reversed() -> String {
    let reverse = |line: &str| line.split(',').rev().collect::<Vec<_>>().join(",");
    example::FARM
        .lines()
        .map(|line| reverse(line) + "\n")
        .collect()
}

fn quoted() -> String {
    let quote = |line: &str| format!("\"{}\"\n", line.replace(',', "\",\""));
    example::FARM.lines().map(quote).collect()
}

cases! {
    byte_order_mark_is_skipped:
        same_as_farm(format!("\u{feff}{}", example::FARM).as_bytes());
    windows_line_ends_are_read:
        same_as_farm(example::FARM.replace('\n', "\r\n").as_bytes());
    last_line_needs_no_end:
        same_as_farm(example::FARM.trim_end().as_bytes());
    semicolons_separate_too:
        same_as_farm(example::FARM.replace(',', ";").as_bytes());
    quoted_cells_are_read:
        same_as_farm(quoted().as_bytes());
    quoted_cells_of_a_windows_sheet_are_read:
        same_as_farm(quoted().replace('\n', "\r\n").as_bytes());
    columns_may_stand_in_any_order:
        same_as_farm(reversed().as_bytes());
    trailing_blank_rows_are_dropped:
        same_as_farm(format!("{}\n,,,,,\n\n , \n", example::FARM).as_bytes());
    trailing_blank_cells_are_dropped:
        same_as_farm(example::FARM.replace('\n', ",,, \n").as_bytes());
    blanks_around_a_cell_are_dropped:
        same_as_farm(example::FARM.replace("odber", " odber ").as_bytes());
    inner_blank_row_is_a_fault:
        assert_eq!(refused_rows(&example::FARM.replacen("\nzone", "\n,,\nzone", 1)), [5]);
    inner_empty_lines_are_counted_like_a_spreadsheet_does:
        assert_eq!(refused_rows(&example::FARM.replacen("\nzone", "\n\n\nzone", 1)), [5, 6]);
    inner_empty_windows_lines_are_counted_too: {
        let text = example::FARM.replacen("\nzone", "\n\n\nzone", 1);
        assert_eq!(refused_rows(&text.replace('\n', "\r\n")), [5, 6]);
    };
    row_numbers_follow_windows_line_ends: {
        let text = example::FARM.replace("cechy-b,cechy,in", "cechy-b,cechy,off");
        assert_eq!(refused_rows(&text.replace('\n', "\r\n")), [6]);
    };
}
