use std::time::SystemTime;

use opentelemetry::trace::SpanId;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SpanData, SpanProcessor};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{Fact, Hop, Kind, Tracer};
use crate::telemetry::log::Identity;

fn hop(sampled: bool, failure: Option<&'static str>) -> Hop {
    Hop {
        kind: Kind::Gate,
        trace: 7,
        parent: 8,
        span: 9,
        sampled,
        start: SystemTime::UNIX_EPOCH,
        end: SystemTime::UNIX_EPOCH,
        failure,
        facts: vec![Fact {
            key: "route",
            value: "orders".into(),
        }],
    }
}

fn exported(hop: Hop) -> Vec<SpanData> {
    let exporter = InMemorySpanExporter::default();
    let tracer = Tracer::with_exporter(exporter.clone(), &Identity::default());
    tracer.record(hop);
    let batch = tracer.batch.as_ref().expect("the tracer is on");
    batch.force_flush().expect("memory takes every span");
    exporter
        .get_finished_spans()
        .expect("memory keeps every span")
}

cases! {
    sampled_hop_is_exported_below_its_parent: {
        let spans = exported(hop(true, None));
        assert_eq!(spans.len(), 1);
        assert_eq!(spans[0].parent_span_id, SpanId::from_bytes(8_u64.to_be_bytes()));
        assert_eq!(spans[0].name, "gate");
    };
    unsampled_hop_is_not_exported:
        assert!(exported(hop(false, None)).is_empty());
    failed_hop_is_exported_though_unsampled:
        assert_eq!(exported(hop(false, Some("overloaded"))).len(), 1);
}

/// Accepts one request, answers it and returns what it received.
async fn receive_one(listener: TcpListener) -> Vec<u8> {
    let (mut stream, _) = listener.accept().await.expect("the exporter connects");
    let mut received = vec![0; 64 * 1024];
    let length = stream.read(&mut received).await.expect("a request arrives");
    received.truncate(length);
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream
        .write_all(answer)
        .await
        .expect("the exporter listens");
    received
}

#[tokio::test(flavor = "multi_thread")]
async fn spans_arrive_at_an_http_collector() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let tracer = Tracer::to(address, &Identity::default()).expect("the exporter can be built");
    tracer.record(hop(true, None));
    let flush = tokio::task::spawn_blocking(move || tracer.shutdown());
    let received = receive_one(listener).await;
    flush.await.expect("the flush ends");
    assert!(received.starts_with(b"POST /v1/traces HTTP/1.1\r\n"));
}
