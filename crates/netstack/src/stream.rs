//! Joins a connection to a byte stream of tokio.

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
    /// The peer answered the SYN with RST.
    Refused,
    /// The peer was silent for too long.
    TimedOut,
    /// This side ended it with RST.
    Aborted,
}

/// Application side of a connection.
pub trait AppStream: AsyncRead + AsyncWrite + Unpin + Send {
    /// Makes the following drop look like a failure, not like an orderly end.
    fn abort(&mut self);
}

impl AppStream for Pipe {
    fn abort(&mut self) {}
}

impl AppStream for TcpStream {
    fn abort(&mut self) {
        // Drop sends RST instead of FIN; a socket that refuses is already broken.
        let _ = self.set_zero_linger();
    }
}

/// The other end can't tell a drop from an orderly end; use [`Pipe`] where that matters.
impl AppStream for DuplexStream {
    fn abort(&mut self) {}
}

/// Shortest time between two polls that nothing but time caused.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Runs a connection until it ended and the application got every byte that it may get.
///
/// An application stream that fails, and a closed `packets` channel, abort the
/// connection with RST. An application stream at its end closes the sending
/// direction; the peer's FIN shuts the application's writing direction down.
pub async fn drive<A: AppStream>(
    connection: Connection,
    mut packets: mpsc::Receiver<Bytes>,
    mut send: impl FnMut(&[u8]) + Send,
    app: A,
) -> FlowEnd {
    let mut driver = Driver {
        connection,
        app: Some(app),
        app_ended: false,
        app_closed: false,
        discard: false,
        timer: None,
    };
    poll_fn(|cx| driver.step(cx, &mut packets, &mut send)).await
}

/// Completes the handshake; returns how it failed otherwise.
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
        let wake = deadline.unwrap_or_else(|| Instant::now() + MIN_WAIT);
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
    /// Dropped when both of its directions are done.
    app: Option<A>,
    /// The application sends nothing more.
    app_ended: bool,
    /// The application was told that nothing more comes.
    app_closed: bool,
    /// The application ended and takes no more bytes.
    discard: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<A: AppStream> Driver<A> {
    fn step(
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
            ready!(self.wait(cx, now, deadline));
        }
    }

    fn read_app(&mut self, cx: &mut Context<'_>) {
        let Some(app) = &mut self.app else { return };
        while !self.app_ended {
            let read = self.connection.write_with(|free| {
                let mut buf = ReadBuf::new(free);
                let poll = Pin::new(&mut *app).poll_read(cx, &mut buf);
                let len = buf.filled().len();
                (len, poll.map_ok(|()| len))
            });
            match read {
                Some(Poll::Ready(Ok(0))) => {
                    self.app_ended = true;
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
        while !self.app_closed {
            let Some(app) = &mut self.app else { return };
            let connection = &mut self.connection;
            if self.discard {
                match connection.read_with(|data| (data.len(), ())).0 {
                    ReadState::Data(_) => {}
                    ReadState::Finished => self.app_closed = true,
                    ReadState::Empty | ReadState::Broken => return,
                }
                continue;
            }
            let (state, written) =
                connection.read_with(|data| into_parts(Pin::new(&mut *app).poll_write(cx, data)));
            match (state, written) {
                // The application's answer is complete and still has to reach the peer.
                (_, Some(Err(_))) if self.app_ended => self.discard = true,
                (_, Some(Err(_))) => return connection.abort(),
                (ReadState::Data(_), _) => {}
                (ReadState::Finished, _) => match Pin::new(app).poll_shutdown(cx) {
                    Poll::Ready(result) => self.shut(&result),
                    Poll::Pending => return,
                },
                (ReadState::Empty | ReadState::Broken, _) => {
                    // A stream that buffers passes on what it has; errors show at the next write.
                    let _ = Pin::new(app).poll_flush(cx);
                    return;
                }
            }
        }
        if self.app_ended {
            self.app = None;
        }
    }

    fn shut(&mut self, result: &io::Result<()>) {
        if result.is_err() && !self.app_ended {
            self.connection.abort();
        }
        self.app_closed = true;
    }

    /// Ready when the connection has to be polled again at once.
    fn wait(&mut self, cx: &mut Context<'_>, now: Instant, deadline: Option<Instant>) -> Poll<()> {
        let Some(deadline) = deadline else {
            return Poll::Pending;
        };
        let deadline = deadline.max(now + MIN_WAIT);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        // An earlier wake-up than needed is cheaper than moving the timer with each packet.
        if timer.is_elapsed() || timer.deadline() > deadline {
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(cx)
    }
}

/// Bytes written, and the error if there is one; a pending write wrote none.
fn into_parts(poll: Poll<io::Result<usize>>) -> (usize, io::Result<()>) {
    match poll {
        Poll::Ready(Ok(len)) => (len, Ok(())),
        Poll::Ready(Err(error)) => (0, Err(error)),
        Poll::Pending => (0, Ok(())),
    }
}
