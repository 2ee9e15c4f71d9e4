use super::{failed, read, story};

/// Lines of three nodes, one of them with what a collector put before it.
const LINES: &str = r#"
  1.2 sidecar-a {"time":"2026-12-04T10:00:00.103Z","instance":"odber-2","zone":"morava-b","plan":7,"decision":"gate","request":"r1","service":"odber","route":"order-place","outcome":"unknown","reason":"backend-lost","elapsed_ms":80.5,"gate":{"in_hand":6,"queued":0,"limit":7,"service_ms":120.0,"accepting":true}}
{"time":"2026-12-04T10:00:00.104Z","instance":"odber-1","zone":"morava-a","plan":7,"decision":"entry","request":"r1","service":"odber","route":"order-place","outcome":"unknown","reason":"backend-lost","elapsed_ms":82.0,"tries":[{"to":"odber-2","expected_ms":121.0,"waits":false,"load_age_ms":14.0,"outcome":"unknown","reason":"backend-lost","elapsed_ms":81.9}]}
{"time":"2026-12-04T10:00:00.200Z","level":"INFO","instance":"odber-1","message":"plan 8 in force"}
{"time":"2026-12-04T10:00:01.000Z","instance":"odber-1","zone":"morava-a","plan":8,"decision":"entry","request":"r2","service":"odber","route":"calendar","outcome":"not-run","reason":"overloaded","elapsed_ms":3.0,"tries":[{"to":"odber-2","expected_ms":300.0,"waits":true,"load_age_ms":null,"outcome":"not-run","reason":"overloaded","elapsed_ms":1.0},{"to":"odber-3","expected_ms":350.0,"waits":true,"load_age_ms":40.0,"outcome":"not-run","reason":"overloaded","elapsed_ms":2.0}]}
{"time":"2026-12-04T10:00:02.000Z","instance":"odber-1","zone":"morava-a","plan":8,"decision":"entry","request":"r3","service":"odber","route":"calendar","outcome":"answered","status":200,"elapsed_ms":90.0,"tries":[],"sampled":32}
not a line
"#;

fn told(request: &str) -> String {
    story(&read(LINES.lines()), request).unwrap_or_default()
}

cases! {
    story_of_a_lost_call_names_the_gate_that_lost_it: insta::assert_snapshot!(told("r1"));
    story_of_a_refused_call_names_each_gate_and_its_load: insta::assert_snapshot!(told("r2"));
    failed_requests_are_listed_by_cause: insta::assert_snapshot!(failed(&read(LINES.lines()), 3));
    request_that_no_line_names_has_no_story: assert_eq!(told("r9"), "");
}
