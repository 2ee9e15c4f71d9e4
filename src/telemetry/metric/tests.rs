use std::net::UdpSocket;
use std::time::Duration;

use cadence::SpyMetricSink;

use super::{Metrics, Name, PREFIX, tag};
use crate::telemetry::log::Identity;

fn lines(send: impl Fn(&Metrics)) -> Vec<String> {
    let (received, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink(sink, &Identity::new("odber-1", "morava-a"));
    send(&metrics);
    drop(metrics);
    let line = |bytes| String::from_utf8(bytes).expect("lines are UTF-8");
    received.try_iter().map(line).collect()
}

fn table_row(name: Name) -> String {
    let tags: Vec<_> = name.tags().iter().map(|tag| format!("`{tag}`")).collect();
    let tags = if tags.is_empty() {
        "–".to_owned()
    } else {
        tags.join(", ")
    };
    format!(
        "| `{PREFIX}.{}` | {} | {tags} | {} |",
        name.as_str(),
        name.unit(),
        name.help()
    )
}

cases! {
    line_carries_instance_zone_and_tags:
        assert_eq!(
            lines(|metrics| metrics.count(
                Name::CallRefused,
                1,
                &[tag("route", "orders"), tag("reason", "overloaded")],
            )),
            ["monsooncove.call.refused:1|c|#instance:odber-1,zone:morava-a,route:orders,reason:overloaded"],
        );
    time_is_a_histogram_of_microseconds:
        assert_eq!(
            lines(|metrics| metrics.time(Name::CallTime, Duration::from_millis(12), &[])),
            ["monsooncove.call.time:12000|h|#instance:odber-1,zone:morava-a"],
        );
    nothing_is_sent_without_a_collector:
        assert!(!Metrics::none().is_on());
    page_lists_every_metric_and_no_other: {
        let page = include_str!("../../../docs/METRICS.md");
        let listed: Vec<_> = page
            .lines()
            .filter(|line| line.starts_with("| `monsooncove."))
            .collect();
        let known: Vec<_> = Name::ALL.iter().map(|name| table_row(*name)).collect();
        assert_eq!(listed, known);
    };
    every_metric_is_sent_by_the_node: {
        let senders = [
            include_str!("../../node/observe.rs"),
            include_str!("../../node/report.rs"),
        ];
        for name in Name::ALL {
            let used = format!("Name::{name:?}");
            assert!(senders.iter().any(|sender| sender.contains(&used)), "{used}");
        }
    };
    lines_arrive_at_a_udp_collector: {
        let collector = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = collector.local_addr().expect("a bound socket has an address");
        let metrics = Metrics::to(address, &Identity::new("odber-1", "morava-a"))
            .expect("a socket can be opened");
        metrics.gauge(Name::GateLimit, 9, &[]);
        drop(metrics);
        let timeout = Some(Duration::from_secs(10));
        collector.set_read_timeout(timeout).expect("a socket takes a timeout");
        let mut buffer = [0; 512];
        let length = collector.recv(&mut buffer).expect("a line arrives");
        assert!(buffer[..length].starts_with(b"monsooncove.gate.limit:9|g|#"));
    };
    dead_collector_is_no_error: {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = socket.local_addr().expect("a bound socket has an address");
        drop(socket);
        let metrics = Metrics::to(address, &Identity::default()).expect("a socket can be opened");
        for _ in 0..100 {
            metrics.gauge(Name::GateLimit, 9, &[]);
        }
    };
}
