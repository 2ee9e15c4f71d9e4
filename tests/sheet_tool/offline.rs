use std::fmt::Write;

use monsooncove::sheet::example;

use crate::session::{Session, finish, golden};

const WITH_FAULTS: &str = "\
kind;name;region;state;slots;cold_allowance;warm_steps;warm_step_ms;service;method;path;regions;worth;idempotent;deadline_ms;second_copy\r
region;morava\r
zone;morava-a;morava;in\r
zone;morava-a;morava;out\r
zone;praha-a;praha;yes\r
service;odber;;;9;10;4;0,5\r
tenant;Pekárny;;;;;;;;;;morava\r
\r
route;calendar;;;;;;;odber;GET;calendar;morava brno;20;maybe;800 ms;yes\r
route;order;;;;;;;odbyt;POST;/orders;all;80;no;2000;yes\r
;;;;;;;;;;;;;;;\r
";

fn help_of_every_command() {
    let mut session = Session::offline();
    session.run(&["--help"], "");
    for command in [
        "check", "diff", "apply", "show", "history", "status", "example",
    ] {
        session.run(&[command, "--help"], "");
    }
    golden!(session);
}

fn refused_sheet() {
    let mut session = Session::offline();
    session.run(&["check", "-"], WITH_FAULTS);
    session.run(&["check", "-", "--json"], "kind,name\n");
    golden!(session);
}

fn examples() {
    let mut session = Session::offline();
    for deployment in ["farm", "society"] {
        let sheet = session.run(&["example", deployment], "");
        session.run(&["check", "-"], &sheet);
    }
    session.run(&["check", "-", "--json"], example::FARM);
    golden!(session);
}

fn wrong_command_lines() {
    let mut session = Session::offline();
    session.run(&["chek", "-"], "");
    session.run(&["check"], "");
    session.run(&["check", "/no/such/sheet.csv"], "");
    session.run(&["example", "brewery"], "");
    session.run(&["status"], "");
    session.run(&["status", "--store", "store.example"], "");
    session.run(&["apply", "-", "--store", "127.0.0.1:1", "--base", "0"], "");
    golden!(session);
}

fn oversized_sheet() {
    let mut session = Session::offline();
    let mut sheet = example::FARM.to_owned();
    while sheet.len() <= monsooncove::sheet::SHEET_BYTES_MAX {
        let row = sheet.len();
        writeln!(sheet, "tenant,t{row},,,,,,,,,,all").expect("it is memory");
    }
    session.run(&["check", "-"], &sheet);
    golden!(session);
}

fn closed_output_is_no_panic() {
    let session = Session::offline();
    let mut command = session.command(&["example", "farm"]);
    let (reader, writer) = std::io::pipe().expect("a pipe can be made");
    drop(reader);
    command.stdout(writer);
    let output = finish(&mut command, "");
    assert!(!String::from_utf8_lossy(&output.stderr).contains("panicked"));
}

cases! {
    help_names_commands_exit_codes_and_environment: help_of_every_command();
    refused_sheet_reports_every_fault_at_once: refused_sheet();
    examples_are_valid: examples();
    wrong_command_lines_exit_with_two: wrong_command_lines();
    oversized_sheet_is_refused: oversized_sheet();
    closed_output_does_not_panic: closed_output_is_no_panic();
}
