//! Time limits of one connection.
//!
//! hyper polls a response body only while the caller reads, so limits that
//! must hold against a silent caller stand outside of it, in [`Watch`].

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
struct Limits {
    framing: Framing,
    head_timeout: Duration,
    write_timeout: Duration,
    head: Option<Instant>,
    write: Option<Instant>,
    body: Option<Instant>,
    busy: bool,
    cut: bool,
}

/// Limits of one connection; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Watch {
    limits: Arc<Mutex<Limits>>,
    changed: Arc<Notify>,
}

impl Watch {
    pub(crate) fn new(settings: &HandlerSettings) -> Self {
        let limits = Limits {
            framing: Framing::new(settings.max_head_bytes),
            head_timeout: settings.head_timeout,
            write_timeout: settings.write_timeout,
            head: None,
            write: None,
            body: None,
            busy: false,
            cut: false,
        };
        Self {
            limits: Arc::new(Mutex::new(limits)),
            changed: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request is in progress or not.
    pub(crate) fn set_busy(&self, busy: bool) {
        self.lock().busy = busy;
    }

    /// Whether a request is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        self.lock().busy
    }

    /// The response body must end before this time.
    pub(crate) fn set_body(&self, until: Option<Instant>) {
        self.lock().body = until;
        self.changed.notify_one();
    }

    /// The response can't be completed.
    pub(crate) fn set_cut(&self) {
        self.lock().cut = true;
    }

    /// Whether a response was cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.lock().cut
    }

    /// Whether a head came with two lengths.
    pub(crate) fn is_conflict(&self) -> bool {
        self.lock().framing.is_conflict()
    }

    fn until(&self) -> Option<Instant> {
        let limits = self.lock();
        let head = limits.head.map(|since| since + limits.head_timeout);
        let write = limits.write.map(|since| since + limits.write_timeout);
        [head, write, limits.body].into_iter().flatten().min()
    }

    /// Waits until a limit passes.
    pub(crate) async fn expired(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(until) = self.until() else {
                changed.await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(until) => {
                    if self.until().is_some_and(|until| until <= Instant::now()) {
                        return;
                    }
                }
                () = changed => {}
            }
        }
    }

    fn received(&self, bytes: &[u8]) {
        let mut limits = self.lock();
        limits.framing.feed(bytes);
        let head = match (limits.framing.in_head(), limits.head) {
            (true, None) => Some(Instant::now()),
            (true, since) => since,
            (false, _) => None,
        };
        if head != limits.head {
            limits.head = head;
            self.changed.notify_one();
        }
    }

    fn written(&self, is_pending: bool) {
        let mut limits = self.lock();
        if is_pending != limits.write.is_some() {
            limits.write = is_pending.then(Instant::now);
            self.changed.notify_one();
        }
    }
}

/// Byte stream that tells its [`Watch`] what passes.
#[derive(Debug)]
pub(crate) struct Watched<T> {
    io: T,
    watch: Watch,
}

impl<T> Watched<T> {
    pub(crate) fn new(io: T, watch: Watch) -> Self {
        Self { io, watch }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
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
            self.watch.received(bytes);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.watch.written(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.watch.written(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(cx);
        self.watch.written(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
