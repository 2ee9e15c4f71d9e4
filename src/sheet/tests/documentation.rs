use crate::sheet::column::Column;
use crate::sheet::parse;

const PAGE: &str = include_str!("../../../docs/SHEET.md");

/// The CSV examples of the page, joined into one sheet.
fn examples() -> String {
    let blocks = PAGE.split("```csv\n").skip(1);
    blocks
        .filter_map(|block| block.split("```").next())
        .collect()
}

cases! {
    examples_of_the_page_form_a_valid_sheet:
        assert_eq!(parse(examples().as_bytes()).map(|sheet| sheet.len()), Ok(7));
    page_describes_each_column:
        for column in Column::ALL {
            assert!(PAGE.contains(&format!("\n| `{column}` | ")), "{column} is missing");
        };
}
