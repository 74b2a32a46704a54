//! Enforces the timeouts of one connection and tracks its state.
//!
//! hyper polls a response body only while the caller reads, so the timeouts
//! that also apply to an unresponsive caller are enforced outside of hyper, by
//! [`ConnectionMonitor`].

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::HandlerSettings;
use crate::framing::Framing;

#[derive(Debug)]
struct State {
    framing: Framing,
    head_timeout: Duration,
    write_timeout: Duration,
    head_since: Option<Instant>,
    /// Since when a write to the caller has been pending.
    write_since: Option<Instant>,
    body_deadline: Option<Instant>,
    busy: bool,
    truncated: bool,
}

/// Timeouts and state of one connection; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionMonitor {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl ConnectionMonitor {
    pub(crate) fn new(settings: &HandlerSettings) -> Self {
        let state = State {
            framing: Framing::new(settings.max_head_bytes),
            head_timeout: settings.head_timeout,
            write_timeout: settings.write_timeout,
            head_since: None,
            write_since: None,
            body_deadline: None,
            busy: false,
            truncated: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether a request is in progress.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.lock().busy = busy;
    }

    /// Whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.lock().busy
    }

    /// Sets the time by which the response body must be complete.
    pub(crate) fn set_body_deadline(&self, deadline: Option<Instant>) {
        self.lock().body_deadline = deadline;
        self.changed.notify_one();
    }

    /// Records that the response can't be completed.
    pub(crate) fn set_truncated(&self) {
        self.lock().truncated = true;
    }

    /// Whether a response was truncated.
    pub(crate) fn is_truncated(&self) -> bool {
        self.lock().truncated
    }

    /// Whether a request head had conflicting lengths.
    pub(crate) fn has_conflicting_lengths(&self) -> bool {
        self.lock().framing.has_conflicting_lengths()
    }

    /// Returns the earliest deadline.
    fn next_deadline(&self) -> Option<Instant> {
        let state = self.lock();
        let head = state.head_since.map(|since| since + state.head_timeout);
        let write = state.write_since.map(|since| since + state.write_timeout);
        [head, write, state.body_deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Waits until a timeout expires.
    pub(crate) async fn expired(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(deadline) = self.next_deadline() else {
                changed.await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(deadline) => {
                    if self.next_deadline().is_some_and(|deadline| deadline <= Instant::now()) {
                        return;
                    }
                }
                () = changed => {}
            }
        }
    }

    fn on_read(&self, bytes: &[u8]) {
        let mut state = self.lock();
        state.framing.feed(bytes);
        let head = match (state.framing.in_head(), state.head_since) {
            (true, None) => Some(Instant::now()),
            (true, since) => since,
            (false, _) => None,
        };
        if head != state.head_since {
            state.head_since = head;
            self.changed.notify_one();
        }
    }

    fn on_write(&self, is_pending: bool) {
        let mut state = self.lock();
        if is_pending != state.write_since.is_some() {
            state.write_since = is_pending.then(Instant::now);
            self.changed.notify_one();
        }
    }
}

/// Byte stream that reports its reads and writes to a [`ConnectionMonitor`].
#[derive(Debug)]
pub(crate) struct MonitoredIo<T> {
    io: T,
    monitor: ConnectionMonitor,
}

impl<T> MonitoredIo<T> {
    pub(crate) fn new(io: T, monitor: ConnectionMonitor) -> Self {
        Self { io, monitor }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MonitoredIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if let Some(bytes) = buf.filled().get(before..)
            && !bytes.is_empty()
        {
            self.monitor.on_read(bytes);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MonitoredIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.monitor.on_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.monitor.on_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.monitor.on_write(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
