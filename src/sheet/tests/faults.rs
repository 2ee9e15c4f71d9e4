use crate::sheet::{example, parse};

/// Faults of the farm's sheet after an edit, a line each.
fn faults(from: &str, to: &str) -> String {
    assert!(example::FARM.contains(from), "the edit changes nothing");
    report(example::FARM.replacen(from, to, 1).as_bytes())
}

fn report(bytes: &[u8]) -> String {
    let faults = parse(bytes).expect_err("the sheet has faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

macro_rules! shows {
    ($report:expr, @$expected:literal) => {
        insta::assert_snapshot!($report, @$expected)
    };
}

cases! {
    empty_sheet: shows!(report(b""), @r#"row 1, column A, value "": fill the sheet; monsooncove-sheet example prints one"#);
    utf16: shows!(report(b"\xff\xfek\0i\0"), @r#"row 1, column A, value "UTF-16": export the sheet as CSV in UTF-8"#);
    latin_letters: shows!(report(b"kind,name\nregion,k\xf6ln\n"), @r#"
        row 1, column C (region), value "": add the column region
        row 1, column C (state), value "": add the column state
        row 1, column C (slots), value "": add the column slots
        row 1, column C (cold_allowance), value "": add the column cold_allowance
        row 1, column C (warm_steps), value "": add the column warm_steps
        row 1, column C (warm_step_ms), value "": add the column warm_step_ms
        row 1, column C (service), value "": add the column service
        row 1, column C (method), value "": add the column method
        row 1, column C (path), value "": add the column path
        row 1, column C (regions), value "": add the column regions
        row 1, column C (worth), value "": add the column worth
        row 1, column C (idempotent), value "": add the column idempotent
        row 1, column C (deadline_ms), value "": add the column deadline_ms
        row 1, column C (second_copy), value "": add the column second_copy
        row 2, column B, value "k�ln": export the sheet as CSV in UTF-8
        "#);
    unknown_heading: shows!(faults("cold_allowance", "cold"), @r#"
        row 1, column F (cold), value "cold": use one of the headings kind, name, region, state, slots, cold_allowance, warm_steps, warm_step_ms, service, method, path, regions, worth, idempotent, deadline_ms, second_copy, objective_ms, attempts
        row 1, column Q (cold_allowance), value "": add the column cold_allowance
        "#);
    doubled_heading: shows!(faults("second_copy", "worth"), @r#"
        row 1, column P (worth), value "worth": keep one column of this heading
        row 1, column Q (second_copy), value "": add the column second_copy
        "#);
    unknown_kind: shows!(faults("tenant,bakeries", "team,bakeries"), @r#"row 13, column A (kind), value "team": write one of region, zone, service, tenant, route"#);
    bad_name: shows!(faults("tenant,bakeries", "tenant,Pekárny"), @r#"row 13, column B (name), value "Pekárny": write a name of 1 to 63 lower-case letters, digits, dots and hyphens that begins and ends with a letter or digit"#);
    bad_state: shows!(faults("cechy-a,cechy,in", "cechy-a,cechy,TRUE"), @r#"row 5, column D (state), value "TRUE": write in or out"#);
    unknown_region_of_a_zone: shows!(faults("cechy-a,cechy,in", "cechy-a,praha,in"), @r#"row 5, column C (region), value "praha": name a region of the sheet, or add a row region,praha"#);
    unknown_home_region: shows!(faults("cechy morava", "cechy brno"), @r#"row 22, column L (regions), value "brno": name a region of the sheet, or add a row region,brno"#);
    doubled_home_region: shows!(faults("cechy morava", "cechy cechy"), @r#"row 22, column L (regions), value "cechy cechy": write all, or names of regions with one space between them"#);
    unknown_service: shows!(faults("odber,GET,/calendar", "odbor,GET,/calendar"), @r#"row 17, column I (service), value "odbor": name a service of the sheet, or add a row service,odbor"#);
    doubled_name: shows!(faults("zone,cechy-b", "zone,cechy-a"), @r#"row 6, column B (name), value "cechy-a": rename it or delete the row; row 5 declares zone cechy-a"#);
    same_requests: shows!(faults("POST,/payments", "POST,/orders"), @r#"row 22, column K (path), value "/orders": change method or path; row 20 matches the same requests"#);
    cold_allowance_over_slots: shows!(faults("9,2,4,500", "9,10,4,500"), @r#"row 11, column F (cold_allowance), value "10": write a whole number from 1 to 9"#);
    signed_number: shows!(faults("9,2,4,500", "9,+2,4,500"), @r#"row 11, column F (cold_allowance), value "+2": write a whole number from 1 to 9"#);
    number_with_decimals: shows!(faults("all,20,,800", "all,20,,0.8"), @r#"row 17, column O (deadline_ms), value "0.8": write a whole number from 1 to 3600000"#);
    cell_of_another_kind: shows!(faults("zone,cechy-a,cechy,in,", "zone,cechy-a,cechy,in,9"), @r#"row 5, column E (slots), value "9": clear the cell; a zone has no slots"#);
    path_with_query: shows!(faults("/calendar", "/calendar?day=1"), @r#"row 17, column K (path), value "/calendar?day=1": write a path such as /orders: it begins with a slash, has no empty or dot segment, no query and at most 512 characters of a URL path"#);
    path_with_dots: shows!(faults("/calendar", "/a/../calendar"), @r#"row 17, column K (path), value "/a/../calendar": write a path such as /orders: it begins with a slash, has no empty or dot segment, no query and at most 512 characters of a URL path"#);
    path_with_needless_encoding: shows!(faults("/calendar", "/%63alendar"), @r#"row 17, column K (path), value "/%63alendar": write a path such as /orders: it begins with a slash, has no empty or dot segment, no query and at most 512 characters of a URL path"#);
    second_copy_of_a_call_that_runs_once: shows!(faults("80,no,2000,no", "80,no,2000,yes"), @r#"row 20, column P (second_copy), value "yes": write no; a second copy may run only where the call is idempotent"#);
    cell_without_heading: shows!(report(format!("{}region,x,,,,,,,,,,,,,,,y\n", example::FARM).as_bytes()), @r#"row 30, column Q, value "y": clear the cell; it has no heading"#);
    region_called_all: shows!(faults("region,cechy", "region,all"), @r#"
        row 2, column B (name), value "all": choose another name; all stands for every region
        row 5, column C (region), value "cechy": name a region of the sheet, or add a row region,cechy
        row 6, column C (region), value "cechy": name a region of the sheet, or add a row region,cechy
        row 15, column L (regions), value "cechy": name a region of the sheet, or add a row region,cechy
        row 22, column L (regions), value "cechy": name a region of the sheet, or add a row region,cechy
        row 23, column L (regions), value "cechy": name a region of the sheet, or add a row region,cechy
        "#);
    quote_inside_a_cell: shows!(faults("bakeries", "bak\"eries"), @r#"row 13, column B, value "\"": put the whole cell in double quotes, and double each quote inside it"#);
    text_after_a_quoted_cell: shows!(faults("bakeries", "\"bakeries\"s"), @r#"row 13, column B, value "\"": put the whole cell in double quotes, and double each quote inside it"#);
    file_cut_inside_quotes: shows!(faults("10,,3000,yes\n", "10,,3000,\"ye"), @r#"row 29, column P, value "\"": close the quotes; the file ends inside this cell and may be cut short"#);
    quotes_are_counted_in_rows_of_a_windows_sheet:
        shows!(report(example::FARM.replace('\n', "\r\n").replace("odber,any", "odber,\"any\" ").as_bytes()), @r#"row 23, column J, value "\"": put the whole cell in double quotes, and double each quote inside it"#);
    stray_quote_hides_no_other_fault: shows!(report(example::FARM.replace("bakeries", "bak\"eries").replace("9,1,5", "9,0,5").as_bytes()), @r#"
        row 12, column F (cold_allowance), value "0": write a whole number from 1 to 9
        row 13, column B, value "\"": put the whole cell in double quotes, and double each quote inside it
        "#);
    several_at_once: shows!(faults("9,2,4,500", "0,2,x,"), @r#"
        row 11, column E (slots), value "0": write a whole number from 1 to 100000
        row 11, column G (warm_steps), value "x": write a whole number from 1 to 1000
        row 11, column H (warm_step_ms), value "": write a whole number from 1 to 3600000
        "#);
}
