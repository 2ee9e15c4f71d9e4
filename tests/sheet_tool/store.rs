use monsooncove::sheet::example;

use crate::session::{Session, finish, golden};

/// The farm's sheet with `zone` out of service.
pub fn without(zone: &str) -> String {
    let (region, _) = zone.split_once('-').expect("zones are named after regions");
    let inside = format!("{zone},{region},in");
    assert!(example::FARM.contains(&inside), "no such zone");
    example::FARM.replace(&inside, &format!("{zone},{region},out"))
}

fn day_of_an_operator() {
    let mut session = Session::start();
    session.run(&["show"], "");
    session.run(&["diff", "-"], "kind\n");
    session.run(&["apply", "-"], example::FARM);
    session.run(&["apply", "-"], &example::FARM.replace('\n', "\r\n"));
    session.run(&["diff", "-"], &without("morava-a"));
    session.run(&["apply", "-", "--base", "1"], &without("morava-a"));
    session.run(&["apply", "-", "--base", "1"], &without("cechy-b"));
    let shown = session.run(&["show"], "");
    session.run(&["check", "-"], &shown);
    session.run(&["apply", "-", "--json"], example::FARM);
    session.run(&["history"], "");
    session.run(&["history", "--json"], "");
    let second = session.run(&["show", "--at", "2"], "");
    session.run(&["diff", "-"], &second);
    session.run(&["show", "--at", "9"], "");
    golden!(session);
}

fn refused_sheet() {
    let mut session = Session::start();
    session.run(&["apply", "-"], example::FARM);
    session.run(
        &["apply", "-"],
        &without("morava-a").replace("odber,GET", "odbor,GET"),
    );
    session.run(&["diff", "-"], example::FARM);
    golden!(session);
}

fn store_down() {
    let mut session = Session::start();
    session.run(&["apply", "-"], example::FARM);
    session.faults(r#"{"down":true}"#);
    session.run(&["apply", "-"], &without("morava-a"));
    session.run(&["status"], "");
    session.faults("{}");
    session.run(&["diff", "-"], example::FARM);
    golden!(session);
}

fn lost_answer() {
    let mut session = Session::start();
    session.run(&["apply", "-"], example::FARM);
    session.faults(r#"{"lose_answers":1}"#);
    session.run(&["apply", "-"], &without("morava-a"));
    session.run(&["history"], "");
    golden!(session);
}

fn older_answers() {
    let mut session = Session::start();
    session.run(&["apply", "-"], example::FARM);
    session.faults(r#"{"older":true}"#);
    session.run(&["apply", "-"], &without("morava-a"));
    session.run(&["apply", "-"], &without("cechy-a"));
    session.faults("{}");
    session.run(&["diff", "-"], &without("morava-a"));
    golden!(session);
}

/// Two operators change the same version at the same time.
fn race() {
    let session = Session::start();
    finish(&mut session.command(&["apply", "-"]), example::FARM);
    for round in 1..=8 {
        let base = round.to_string();
        let sheets = [without("morava-a"), without("cechy-a")]
            .map(|sheet| sheet.replace("all,20,,800", &format!("all,{},,800", 20 + round)));
        let mut codes = std::thread::scope(|scope| {
            let runs = sheets.each_ref().map(|sheet| {
                let mut command = session.command(&["apply", "-", "--base", &base]);
                scope.spawn(move || finish(&mut command, sheet).status.code())
            });
            runs.map(|run| run.join().expect("the run ends"))
        });
        codes.sort_unstable();
        assert_eq!(codes, [Some(0), Some(1)], "one of two wins");
    }
    let shown = finish(&mut session.command(&["history"]), "");
    assert!(
        shown.stdout.starts_with(b"version 9:"),
        "each round adds one version"
    );
}

fn output_is_plain(variables: &[(&str, &str)]) {
    let session = Session::start();
    finish(&mut session.command(&["apply", "-"]), example::FARM);
    let mut command = session.command(&["diff", "-"]);
    let output = finish(
        command.envs(variables.iter().copied()),
        &without("morava-a"),
    );
    assert!(!output.stdout.is_empty());
    assert!(!output.stdout.contains(&0x1b));
}

cases! {
    operator_works_through_a_day: day_of_an_operator();
    refused_sheet_changes_nothing: refused_sheet();
    store_down_changes_nothing: store_down();
    lost_answer_is_settled: lost_answer();
    older_answers_lose_no_change: older_answers();
    one_of_two_racing_operators_wins: race();
    output_into_a_pipe_has_no_colour: output_is_plain(&[]);
    no_color_is_kept: output_is_plain(&[("NO_COLOR", "1"), ("TERM", "xterm-256color")]);
}
