use http::HeaderMap;
use opentelemetry::trace::SpanId;
use opentelemetry_sdk::trace::{InMemorySpanExporter, SpanData};

use super::{Hop, Ratio, TRACEPARENT, Tracer};
use crate::telemetry::log::Identity;

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const UNSAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

fn headers(traceparent: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(TRACEPARENT, traceparent.parse().expect("a header value"));
    headers
}

fn exported(ratio: Ratio, run: impl Fn(&Tracer)) -> Vec<SpanData> {
    let exporter = InMemorySpanExporter::default();
    let tracer = Tracer::with_exporter(exporter.clone(), &Identity::default(), ratio);
    run(&tracer);
    let inner = tracer.inner.as_ref().expect("the tracer is on");
    inner
        .provider
        .force_flush()
        .expect("memory takes every span");
    exporter
        .get_finished_spans()
        .expect("memory keeps every span")
}

/// One call through entry, link and gate, with headers between two nodes.
fn call(tracer: &Tracer, headers: &HeaderMap) {
    let entry = tracer.start(Hop::Entry, headers);
    let link = tracer.start_below(Hop::Link, &entry);
    let mut wire = HeaderMap::new();
    link.inject(&mut wire);
    let gate = tracer.start(Hop::Gate, &wire);
    let backend = tracer.start_below(Hop::BackendServer, &gate);
    backend.set("route", "orders");
}

fn is_one_tree(spans: &[SpanData], root: &str) -> bool {
    let trace = spans[0].span_context.trace_id();
    let known = |id: SpanId| spans.iter().any(|span| span.span_context.span_id() == id);
    spans.iter().all(|span| {
        let from_root = span.parent_span_id.to_string() == root;
        let same_trace = span.span_context.trace_id() == trace;
        same_trace && (from_root || known(span.parent_span_id))
    })
}

cases! {
    spans_of_a_call_form_one_tree_below_the_caller: {
        let spans = exported(Ratio::new(0), |tracer| call(tracer, &headers(SAMPLED)));
        assert_eq!(spans.len(), 4);
        assert!(is_one_tree(&spans, "b7ad6b7169203331"));
    };
    unsampled_trace_is_not_exported: {
        let spans = exported(Ratio::new(10_000), |tracer| call(tracer, &headers(UNSAMPLED)));
        assert!(spans.is_empty());
    };
    failed_span_is_exported_though_unsampled: {
        let spans = exported(Ratio::new(0), |tracer| {
            tracer.start(Hop::Entry, &headers(UNSAMPLED)).fail("overloaded");
        });
        assert_eq!(spans.len(), 1);
    };
    ratio_of_none_keeps_no_new_trace: {
        let spans = exported(Ratio::new(0), |tracer| call(tracer, &HeaderMap::new()));
        assert!(spans.is_empty());
    };
    ratio_of_all_keeps_every_new_trace: {
        let spans = exported(Ratio::new(10_000), |tracer| call(tracer, &HeaderMap::new()));
        assert_eq!(spans.len(), 4);
    };
    headers_pass_untouched_when_tracing_is_off: {
        let mut passed = headers(SAMPLED);
        Tracer::none().start(Hop::Entry, &passed).inject(&mut passed);
        assert_eq!(passed, headers(SAMPLED));
    };
    malformed_traceparent_starts_a_new_trace: {
        let spans = exported(Ratio::new(10_000), |tracer| call(tracer, &headers("00-zz\"-01")));
        assert_eq!(spans.len(), 4);
        assert_eq!(spans.iter().filter(|span| span.parent_span_id == SpanId::INVALID).count(), 1);
    };
}

/// Accepts one request and answers it; returns its head and body.
async fn receive_one(listener: tokio::net::TcpListener) -> Vec<u8> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
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
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let tracer = Tracer::to(address, &Identity::default(), Ratio::new(10_000))
        .expect("the exporter can be built");
    drop(tracer.start(Hop::Entry, &HeaderMap::new()));
    let flush = tokio::task::spawn_blocking(move || tracer.shutdown());
    let received = receive_one(listener).await;
    flush.await.expect("the flush ends");
    assert!(received.starts_with(b"POST /v1/traces HTTP/1.1\r\n"));
}
