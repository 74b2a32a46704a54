//! Bodies to the backend server and to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Body to the backend server.
#[derive(Debug)]
pub(crate) struct Upload {
    rest: Option<Incoming>,
}

/// Body to the caller.
#[derive(Debug)]
pub(crate) struct Download {
    full: Option<Bytes>,
    stream: Option<Incoming>,
}

impl Upload {
    pub(crate) fn new(rest: Incoming) -> Self {
        Self { rest: Some(rest) }
    }
}

impl Download {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self {
            full: Some(bytes),
            stream: None,
        }
    }

    pub(crate) fn stream(stream: Incoming) -> Self {
        Self {
            full: None,
            stream: Some(stream),
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.rest {
            Some(rest) => Pin::new(rest).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.rest.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(full) = self.full.take() {
            return Poll::Ready(Some(Ok(Frame::data(full))));
        }
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.full.is_none() && self.stream.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.full, &self.stream) {
            (Some(full), _) => SizeHint::with_exact(full.len() as u64),
            (None, Some(stream)) => stream.size_hint(),
            (None, None) => SizeHint::with_exact(0),
        }
    }
}
