//! Connects a [`Connection`] to a byte stream of tokio.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::pipe::Pipe;
use crate::{Connection, ReadState, State};

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum FlowEnd {
    /// Both directions were closed in order.
    Closed,
    /// The peer sent RST.
    Reset,
    /// The peer replied to the SYN with RST.
    Refused,
    /// The peer sent no reply within the timeout.
    TimedOut,
    /// This side aborted the connection.
    Aborted,
}

/// Application side of a connection.
pub trait AppStream: AsyncRead + AsyncWrite + Unpin + Send {
    /// Makes the following drop appear as an error at the other end, not as an orderly end.
    fn abort(&mut self);
}

impl AppStream for Pipe {
    fn abort(&mut self) {}
}

impl AppStream for TcpStream {
    fn abort(&mut self) {
        // Drop then sends RST instead of FIN; the call fails only for a broken socket.
        let _ = self.set_zero_linger();
    }
}

/// The other end can't distinguish a drop from an orderly end; use [`Pipe`] where that matters.
impl AppStream for DuplexStream {
    fn abort(&mut self) {}
}

/// Minimum time between two polls that only a timer caused.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Runs a connection until it has ended and all received bytes were written to the application.
///
/// An error of the application stream or a closed `packets` channel aborts the
/// connection with RST. The end of the application stream closes the sending
/// direction; the peer's FIN shuts down the writing direction to the application.
pub async fn drive<A: AppStream>(
    connection: Connection,
    mut packets: mpsc::Receiver<Bytes>,
    mut send: impl FnMut(&[u8]) + Send,
    app: A,
) -> FlowEnd {
    let mut driver = Driver {
        connection,
        app: Some(app),
        app_eof: false,
        app_shutdown: false,
        discard_received: false,
        timer: None,
    };
    poll_fn(|cx| driver.poll_end(cx, &mut packets, &mut send)).await
}

/// Completes the handshake; returns how the connection ended if that failed.
pub async fn establish(
    connection: &mut Connection,
    packets: &mut mpsc::Receiver<Bytes>,
    mut send: impl FnMut(&[u8]) + Send,
) -> Option<FlowEnd> {
    loop {
        let deadline = connection.poll_with(Instant::now(), &mut send);
        match connection.state() {
            State::Handshake => {}
            State::Ended(end) => return Some(end),
            State::Open | State::Lingering => return None,
        }
        let wake = deadline.unwrap_or_else(|| Instant::now() + MIN_POLL_INTERVAL);
        tokio::select! {
            packet = packets.recv() => match packet {
                Some(packet) => connection.receive(Instant::now(), &packet),
                None => connection.abort(),
            },
            () = sleep_until(wake) => {}
        }
    }
}

struct Driver<A> {
    connection: Connection,
    /// `None` once both of its directions are closed.
    app: Option<A>,
    /// The application stream reached its end.
    app_eof: bool,
    /// The writing direction to the application is shut down.
    app_shutdown: bool,
    /// The application stream reached its end and accepts no more bytes; received bytes are
    /// discarded.
    discard_received: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<A: AppStream> Driver<A> {
    fn poll_end(
        &mut self,
        cx: &mut Context<'_>,
        packets: &mut mpsc::Receiver<Bytes>,
        send: &mut impl FnMut(&[u8]),
    ) -> Poll<FlowEnd> {
        loop {
            let now = Instant::now();
            while let Poll::Ready(packet) = packets.poll_recv(cx) {
                match packet {
                    Some(packet) => self.connection.receive(now, &packet),
                    None => {
                        self.connection.abort();
                        break;
                    }
                }
            }
            self.read_app(cx);
            self.write_app(cx);
            let deadline = self.connection.poll_with(now, &mut *send);
            if let State::Ended(end) = self.connection.state()
                && (end != FlowEnd::Closed || self.app.is_none())
            {
                if let Some(mut app) = self.app.take() {
                    app.abort();
                }
                return Poll::Ready(end);
            }
            ready!(self.poll_deadline(cx, now, deadline));
        }
    }

    fn read_app(&mut self, cx: &mut Context<'_>) {
        let Some(app) = &mut self.app else { return };
        while !self.app_eof {
            let read = self.connection.write_with(|free| {
                let mut buf = ReadBuf::new(free);
                let poll = Pin::new(&mut *app).poll_read(cx, &mut buf);
                let len = buf.filled().len();
                (len, poll.map_ok(|()| len))
            });
            match read {
                Some(Poll::Ready(Ok(0))) => {
                    self.app_eof = true;
                    self.connection.close();
                }
                Some(Poll::Ready(Ok(_))) => {}
                Some(Poll::Ready(Err(_))) => {
                    self.connection.abort();
                    return;
                }
                Some(Poll::Pending) | None => return,
            }
        }
    }

    fn write_app(&mut self, cx: &mut Context<'_>) {
        while !self.app_shutdown {
            let Some(app) = &mut self.app else { return };
            let connection = &mut self.connection;
            if self.discard_received {
                match connection.read_with(|data| (data.len(), ())).0 {
                    ReadState::Data(_) => {}
                    ReadState::Finished => self.app_shutdown = true,
                    ReadState::Empty | ReadState::Broken => return,
                }
                continue;
            }
            let (state, written) = connection
                .read_with(|data| split_write_result(Pin::new(&mut *app).poll_write(cx, data)));
            match (state, written) {
                // The application's response is complete and still has to reach the peer.
                (_, Some(Err(_))) if self.app_eof => self.discard_received = true,
                (_, Some(Err(_))) => return connection.abort(),
                (ReadState::Data(_), _) => {}
                (ReadState::Finished, _) => match Pin::new(app).poll_shutdown(cx) {
                    Poll::Ready(result) => self.finish_shutdown(&result),
                    Poll::Pending => return,
                },
                (ReadState::Empty | ReadState::Broken, _) => {
                    // Flushes the buffer of the stream; an error is reported by the next write.
                    let _ = Pin::new(app).poll_flush(cx);
                    return;
                }
            }
        }
        if self.app_eof {
            self.app = None;
        }
    }

    fn finish_shutdown(&mut self, result: &io::Result<()>) {
        if result.is_err() && !self.app_eof {
            self.connection.abort();
        }
        self.app_shutdown = true;
    }

    /// Ready when the connection must be polled again at once.
    fn poll_deadline(
        &mut self,
        cx: &mut Context<'_>,
        now: Instant,
        deadline: Option<Instant>,
    ) -> Poll<()> {
        let Some(deadline) = deadline else {
            return Poll::Pending;
        };
        let deadline = deadline.max(now + MIN_POLL_INTERVAL);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        // Waking up too early is cheaper than resetting the timer for each packet.
        if timer.is_elapsed() || timer.deadline() > deadline {
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(cx)
    }
}

/// Number of bytes written, and the error if there is one; a pending write has written none.
fn split_write_result(poll: Poll<io::Result<usize>>) -> (usize, io::Result<()>) {
    match poll {
        Poll::Ready(Ok(len)) => (len, Ok(())),
        Poll::Ready(Err(error)) => (0, Err(error)),
        Poll::Pending => (0, Ok(())),
    }
}
