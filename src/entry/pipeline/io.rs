//! Socket of one connection as hyper reads and writes it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{Inner, Pipeline, READ_AHEAD_BYTES};
use crate::entry::Entry;

/// Bytes read from the socket at once.
const CHUNK_BYTES: usize = 8 * 1024;

/// Reads through the scanner of its pipeline.
pub(in crate::entry) struct Io(pub(in crate::entry) Arc<Pipeline>);

impl Inner {
    /// Reads what has arrived, up to the bound.
    pub(super) fn poll_read_ahead(&mut self, context: &mut Context<'_>, entry: &Arc<Entry>) {
        while !self.is_ended && self.read_ahead.len() < READ_AHEAD_BYTES {
            let mut chunk = [0; CHUNK_BYTES];
            let read = match self.poll_chunk(context, &mut chunk) {
                Poll::Ready(Ok(read)) => read,
                Poll::Ready(Err(_)) => 0,
                Poll::Pending => return,
            };
            self.is_ended = read == 0;
            self.read_ahead.extend_from_slice(&chunk[..read]);
            self.scan(&chunk[..read], entry);
            if self.is_reader_waiting {
                // The waker that hyper left at the socket was used up by this read.
                context.waker().wake_by_ref();
            }
        }
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
        chunk: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(chunk);
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    }

    /// Finds complete requests behind the one in turn, whose calls may be started.
    fn scan(&mut self, bytes: &[u8], entry: &Arc<Entry>) {
        let in_turn = self.answered;
        let Self {
            scanner,
            prefetches,
            ..
        } = self;
        scanner.push(bytes, |index, head| {
            index <= in_turn || prefetches.find(entry, index, head)
        });
    }

    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
        entry: &Arc<Entry>,
    ) -> Poll<io::Result<()>> {
        if !self.read_ahead.is_empty() {
            let length = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead.split_to(length));
            return Poll::Ready(Ok(()));
        }
        if self.is_ended {
            return Poll::Ready(Ok(()));
        }
        let mut chunk = [0; CHUNK_BYTES];
        let length = chunk.len().min(buffer.remaining());
        let read = ready!(self.poll_chunk(context, &mut chunk[..length]))?;
        self.is_ended = read == 0;
        buffer.put_slice(&chunk[..read]);
        self.scan(&chunk[..read], entry);
        Poll::Ready(Ok(()))
    }
}

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.0.lock();
        let read = inner.poll_read(context, buffer, &self.0.entry);
        inner.is_reader_waiting = read.is_pending();
        read
    }
}

impl Write for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().socket).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().socket).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().socket).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.lock().socket).poll_write_vectored(context, parts)
    }
}
