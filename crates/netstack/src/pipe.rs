//! In-memory byte stream that distinguishes shutdown from a dropped writer.
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
enum EndState {
    Open,
    Finished,
    Broken,
}

#[derive(Debug)]
struct Direction {
    bytes: VecDeque<u8>,
    end: EndState,
    reader_dropped: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

impl Direction {
    fn new() -> Self {
        Self {
            bytes: VecDeque::new(),
            end: EndState::Open,
            reader_dropped: false,
            reader_waker: None,
            writer_waker: None,
        }
    }

    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
    }
}

/// One end of the stream; if it is dropped before `shutdown`, reads at the other end fail.
#[derive(Debug)]
pub struct Pipe {
    directions: Arc<Mutex<[Direction; 2]>>,
    side: usize,
    capacity: usize,
}

/// Creates a stream that buffers at most `capacity` bytes in each direction; returns both ends.
///
/// Buffers grow on demand, so an idle stream needs little memory.
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
        if sent.end == EndState::Open {
            sent.end = EndState::Broken;
        }
        sent.wake_reader();
        let received = &mut directions[1 - self.side];
        received.reader_dropped = true;
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
                EndState::Open => {
                    received.reader_waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                EndState::Finished => Poll::Ready(Ok(())),
                EndState::Broken => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
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
        if sent.reader_dropped || sent.end != EndState::Open {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let len = (self.capacity - sent.bytes.len()).min(buf.len());
        if len == 0 && !buf.is_empty() {
            sent.writer_waker = Some(cx.waker().clone());
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
        if sent.end == EndState::Open {
            sent.end = EndState::Finished;
        }
        sent.wake_reader();
        Poll::Ready(Ok(()))
    }
}
