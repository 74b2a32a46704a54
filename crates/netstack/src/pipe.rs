//! In-memory byte stream whose orderly end differs from a dropped end.
//!
//! `tokio::io::duplex` reports the end of the stream in both cases, so a
//! truncated stream would look complete.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Open,
    Finished,
    Broken,
}

#[derive(Debug)]
struct Direction {
    bytes: VecDeque<u8>,
    end: End,
    reader_gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Direction {
    fn new() -> Self {
        Self {
            bytes: VecDeque::new(),
            end: End::Open,
            reader_gone: false,
            reader: None,
            writer: None,
        }
    }

    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer.take() {
            waker.wake();
        }
    }
}

/// One end of the stream; dropped before `shutdown`, it breaks the stream.
#[derive(Debug)]
pub struct Pipe {
    directions: Arc<Mutex<[Direction; 2]>>,
    side: usize,
    capacity: usize,
}

/// Both ends, with at most `capacity` bytes buffered in each direction.
///
/// Buffers grow on demand, so that an idle stream costs little memory.
#[must_use]
pub fn pair(capacity: usize) -> (Pipe, Pipe) {
    let directions = Arc::new(Mutex::new([Direction::new(), Direction::new()]));
    let end = |side, directions| Pipe {
        directions,
        side,
        capacity,
    };
    (end(0, Arc::clone(&directions)), end(1, directions))
}

impl Pipe {
    fn lock(&self) -> MutexGuard<'_, [Direction; 2]> {
        self.directions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        let mut directions = self.lock();
        let sent = &mut directions[self.side];
        if sent.end == End::Open {
            sent.end = End::Broken;
        }
        sent.wake_reader();
        let received = &mut directions[1 - self.side];
        received.reader_gone = true;
        received.wake_writer();
    }
}

impl AsyncRead for Pipe {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut directions = self.lock();
        let received = &mut directions[1 - self.side];
        if received.bytes.is_empty() {
            return match received.end {
                End::Open => {
                    received.reader = Some(cx.waker().clone());
                    Poll::Pending
                }
                End::Finished => Poll::Ready(Ok(())),
                End::Broken => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            };
        }
        let (front, _) = received.bytes.as_slices();
        let len = front.len().min(buf.remaining());
        buf.put_slice(&front[..len]);
        received.bytes.drain(..len);
        received.wake_writer();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut directions = self.lock();
        let sent = &mut directions[self.side];
        if sent.reader_gone || sent.end != End::Open {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let len = (self.capacity - sent.bytes.len()).min(buf.len());
        if len == 0 && !buf.is_empty() {
            sent.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        sent.bytes.extend(&buf[..len]);
        sent.wake_reader();
        Poll::Ready(Ok(len))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut directions = self.lock();
        let sent = &mut directions[self.side];
        if sent.end == End::Open {
            sent.end = End::Finished;
        }
        sent.wake_reader();
        Poll::Ready(Ok(()))
    }
}
