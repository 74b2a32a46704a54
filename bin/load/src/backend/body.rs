//! Bodies of answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Content that belongs to one request: a line with its id and path, then `size` bytes by both.
#[must_use]
pub fn content(id: &str, path: &str, size: usize) -> Bytes {
    let mut out = format!("{id} {path}\n").into_bytes();
    let end = out.len() + size;
    let mut number = xxh3_64_with_seed(id.as_bytes(), size as u64);
    while out.len() < end {
        number = xxh3_64_with_seed(path.as_bytes(), number);
        out.extend_from_slice(&number.to_be_bytes());
    }
    out.truncate(end);
    out.into()
}

/// Body that a task produces; an error makes hyper close the connection.
pub(super) struct Pieces {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
    size: Option<u64>,
}

impl Pieces {
    /// Body with the size that its head declares, if any.
    pub(super) fn new(receiver: mpsc::Receiver<io::Result<Bytes>>, size: Option<u64>) -> Self {
        Self { receiver, size }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let next = self.receiver.poll_recv(context);
        next.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.size
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
