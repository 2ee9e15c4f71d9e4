use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Mode, Search, Wire};

/// Longer than loopback takes; only the cases that must not pass wait for it.
const QUIET: Duration = Duration::from_millis(200);

async fn echo_once(listener: TcpListener) -> io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        stream.write_all(&byte).await?;
    }
    Ok(())
}

async fn exchange(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [7];
    stream.write_all(&byte).await.ok()?;
    stream.read_exact(&mut byte).await.ok()?;
    Some(byte[0])
}

fn through(mode: Mode, then: Option<Mode>) -> Option<u8> {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let wire = Wire::start().await.unwrap();
        wire.connect(listener.local_addr().unwrap());
        tokio::spawn(echo_once(listener));
        let mut stream = TcpStream::connect(wire.address()).await.unwrap();
        exchange(&mut stream).await.unwrap();
        wire.set(mode);
        if let Some(then) = then {
            let mut waiting = std::pin::pin!(exchange(&mut stream));
            let early = tokio::time::timeout(QUIET, waiting.as_mut()).await;
            assert!(early.is_err());
            wire.set(then);
            return waiting.await;
        }
        tokio::time::timeout(QUIET, exchange(&mut stream))
            .await
            .ok()?
    })
}

fn found(parts: &[&str]) -> u64 {
    let search = Search::default();
    *search.needle() = b"order".to_vec();
    let mut tail = Vec::new();
    for part in parts {
        search.feed(&mut tail, part.as_bytes());
    }
    search.found.into_inner()
}

cases! {
    finds_what_passes:
        assert_eq!(found(&["an order, ", "two orders"]), 2);
    finds_what_is_split:
        assert_eq!(found(&["an or", "d", "er"]), 1);
    finds_nothing_twice:
        assert_eq!(found(&["order", "ly"]), 1);
    passes_bytes_both_ways:
        assert_eq!(through(Mode::Pass, None), Some(7));
    holds_bytes:
        assert_eq!(through(Mode::Hold, None), None);
    held_bytes_pass_later:
        assert_eq!(through(Mode::Hold, Some(Mode::Pass)), Some(7));
    holds_answers:
        assert_eq!(through(Mode::HoldAnswers, None), None);
    held_answers_come_later:
        assert_eq!(through(Mode::HoldAnswers, Some(Mode::Pass)), Some(7));
    cuts_open_connections:
        assert_eq!(through(Mode::Cut, None), None);
}
