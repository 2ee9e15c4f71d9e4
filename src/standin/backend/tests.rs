use super::{Arrival, Checks, Control, Server, Settings, Verdict};
use crate::clock::Time;

const WARM: Time = Time::from_millis(5_000);

fn server() -> Server {
    let settings = Settings {
        region: "morava".into(),
        ..Settings::default()
    };
    Server::new(settings, Time::ZERO)
}

fn after(control: Control, arrivals: &[Time]) -> Checks {
    let mut server = server();
    server.control(WARM, control);
    for &now in arrivals {
        server.take(now, Arrival::default());
    }
    server.checks().clone()
}

fn cold(arrivals: usize) -> Checks {
    let mut server = server();
    for _ in 0..arrivals {
        server.take(Time::ZERO, Arrival::default());
    }
    server.checks().clone()
}

fn restarted(sign_seen: bool) -> u64 {
    let mut server = server();
    server.control(
        WARM,
        Control {
            restart: true,
            ..Control::default()
        },
    );
    if sign_seen {
        server.sign(WARM);
    }
    for _ in 0..3 {
        server.take(Time::from_millis(5_300), Arrival::default());
    }
    server.checks().cold_over
}

fn abroad(home: &str) -> u64 {
    let mut server = server();
    let arrival = Arrival {
        id: "1",
        home: Some(home),
    };
    server.take(WARM, arrival);
    server.checks().abroad
}

fn executions(times: usize) -> u32 {
    let mut server = server();
    for _ in 0..times {
        let arrival = Arrival {
            id: "a",
            home: None,
        };
        server.take(WARM, arrival);
    }
    server.executions().of("a")
}

fn overloaded() -> (Verdict, u64) {
    let mut server = server();
    let mut last = Verdict::Shed;
    for _ in 0..28 {
        last = server.take(WARM, Arrival::default());
    }
    (last, server.checks().shed)
}

fn collapsed() -> bool {
    let mut server = server();
    server.take(Time::ZERO, Arrival::default());
    server.take(Time::ZERO, Arrival::default());
    matches!(
        server.take(Time::ZERO, Arrival::default()),
        Verdict::Fail(_)
    )
}

fn zone_out() -> Control {
    Control {
        zone_out_after_ms: Some(3_000),
        ..Control::default()
    }
}

fn drain() -> Control {
    Control {
        drain_grace_ms: Some(2_000),
        ..Control::default()
    }
}

cases! {
    cold_start_within_the_allowance_is_fine:
        assert_eq!(cold(2).cold_over, 0);
    cold_start_above_the_allowance_is_counted:
        assert_eq!(cold(3).cold_over, 1);
    cold_start_above_the_allowance_collapses:
        assert!(collapsed());
    unannounced_cold_start_is_not_checked_before_a_sign:
        assert_eq!(restarted(false), 0);
    unannounced_cold_start_is_checked_after_a_sign:
        assert_eq!(restarted(true), 1);
    work_soon_after_the_zone_went_out_is_within_the_time_allowed:
        assert_eq!(after(zone_out(), &[Time::from_millis(7_999)]).zone_out_late, 0);
    work_long_after_the_zone_went_out_is_counted:
        assert_eq!(after(zone_out(), &[Time::from_millis(8_000)]).zone_out_late, 1);
    work_long_after_the_drain_is_counted:
        assert_eq!(after(drain(), &[Time::from_millis(7_000)]).leaving_late, 1);
    work_soon_after_the_drain_is_shed:
        assert_eq!(after(drain(), &[Time::from_millis(6_000)]).shed, 1);
    request_at_home_is_not_abroad:
        assert_eq!(abroad("cechy, morava"), 0);
    request_outside_its_home_regions_is_counted:
        assert_eq!(abroad("cechy"), 1);
    executions_are_counted_per_request_id:
        assert_eq!(executions(2), 2);
    work_beyond_slots_and_backlog_is_shed:
        assert_eq!(overloaded(), (Verdict::Shed, 1));
}
