//! Request bodies for the backend server and response bodies for the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::exchange::Exchange;

/// Why a body was not transferred completely.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// The connection of its sender failed.
    #[error("the body was cut: {0}")]
    Read(#[from] hyper::Error),
    /// The body exceeds its size limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
}

/// Request body for the backend server: buffered bytes, then the unread rest.
#[derive(Debug)]
pub(crate) struct RequestBody {
    buffered: Bytes,
    rest: Option<Incoming>,
    remaining: u64,
    limit: u64,
    oversized: Arc<AtomicBool>,
}

impl RequestBody {
    pub(crate) fn new(rest: Incoming, limit: u64) -> Self {
        let rest = (!rest.is_end_stream()).then_some(rest);
        Self {
            buffered: Bytes::new(),
            rest,
            remaining: limit,
            limit,
            oversized: Arc::default(),
        }
    }

    pub(crate) fn full(bytes: Bytes) -> Self {
        Self {
            buffered: bytes,
            rest: None,
            remaining: 0,
            limit: u64::MAX,
            oversized: Arc::default(),
        }
    }

    /// Returns the exact length if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }

    /// Flag that is set once the body exceeds its limit.
    pub(crate) fn oversized(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.oversized)
    }

    /// Returns the whole body if it is buffered, so that it can be sent again.
    pub(crate) fn fully_buffered(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.buffered)
    }

    /// Buffers the body until it is complete or `target` bytes are read.
    pub(crate) async fn buffer(&mut self, target: usize) -> Result<(), BodyError> {
        let Some(rest) = &mut self.rest else {
            return Ok(());
        };
        let mut read = BytesMut::from(&self.buffered[..]);
        let mut complete = false;
        while !complete && read.len() < target {
            match rest.frame().await {
                None => complete = true,
                Some(frame) => {
                    let data = frame?.into_data().unwrap_or_default();
                    self.remaining = consume(self.remaining, &data, self.limit)?;
                    read.extend_from_slice(&data);
                    complete = rest.is_end_stream();
                }
            }
        }
        self.buffered = read.freeze();
        if complete {
            self.rest = None;
        }
        Ok(())
    }
}

/// Subtracts the length of `data` from the remaining allowance.
fn consume(remaining: u64, data: &Bytes, limit: u64) -> Result<u64, BodyError> {
    remaining
        .checked_sub(data.len() as u64)
        .ok_or(BodyError::TooLarge { limit })
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        loop {
            let Some(rest) = &mut self.rest else {
                return Poll::Ready(None);
            };
            let Some(frame) = ready!(Pin::new(rest).poll_frame(cx)) else {
                return Poll::Ready(None);
            };
            // Trailers are not forwarded: they concern only the connection to the caller.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            match consume(self.remaining, &data, self.limit) {
                Ok(remaining) => self.remaining = remaining,
                Err(error) => {
                    self.oversized.store(true, Ordering::Relaxed);
                    return Poll::Ready(Some(Err(error)));
                }
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.buffered.len() as u64;
        let rest = self
            .rest
            .as_ref()
            .map_or(Some(0), |rest| rest.size_hint().exact());
        match rest {
            Some(rest) => SizeHint::with_exact(read + rest),
            None => SizeHint::default(),
        }
    }
}

/// Response body for the caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Bytes in memory; `None` once they are sent or if the body is empty.
    Full(Option<Bytes>),
    /// Streamed from the backend server.
    Stream(Incoming, Box<Exchange>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Streams a response and reports its end to `exchange`.
    pub(crate) fn stream(body: Incoming, mut exchange: Box<Exchange>) -> Self {
        if body.is_end_stream() {
            exchange.complete();
        }
        Self::Stream(body, exchange)
    }

    /// Reads the whole body; fails if it exceeds `limit` bytes.
    pub(crate) async fn collect(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut read = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let data = frame?.into_data().unwrap_or_default();
            if read.len() + data.len() > limit {
                return Err(BodyError::TooLarge {
                    limit: limit as u64,
                });
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let (body, exchange) = match &mut *self {
            Self::Full(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(body, exchange) => (body, exchange),
        };
        loop {
            match ready!(Pin::new(&mut *body).poll_frame(cx)) {
                None => {
                    exchange.complete();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    exchange.fail();
                    return Poll::Ready(Some(Err(error)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    exchange.record_data(&data);
                    if body.is_end_stream() {
                        exchange.complete();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(body, _) => body.size_hint(),
        }
    }
}
