//! Bodies to the backend server and to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::exchange::Exchange;

/// Why a body ended early.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// Its sender's connection failed.
    #[error("the body was cut: {0}")]
    Cut(#[from] hyper::Error),
    /// It is larger than its class allows.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit.
        limit: u64,
    },
}

/// Body to the backend server: what was read already, then the rest.
#[derive(Debug)]
pub(crate) struct Upload {
    prefix: Bytes,
    rest: Option<Incoming>,
    left: u64,
    limit: u64,
    oversized: Arc<AtomicBool>,
}

impl Upload {
    pub(crate) fn new(rest: Incoming, limit: u64) -> Self {
        let rest = (!rest.is_end_stream()).then_some(rest);
        Self {
            prefix: Bytes::new(),
            rest,
            left: limit,
            limit,
            oversized: Arc::default(),
        }
    }

    pub(crate) fn full(bytes: Bytes) -> Self {
        Self {
            prefix: bytes,
            rest: None,
            left: 0,
            limit: u64::MAX,
            oversized: Arc::default(),
        }
    }

    /// Exact length, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }

    /// Set once the body turned out to be larger than its limit.
    pub(crate) fn oversized(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.oversized)
    }

    /// Whole body, if it was read completely; it can be sent again.
    pub(crate) fn whole(&self) -> Option<&Bytes> {
        self.rest.is_none().then_some(&self.prefix)
    }

    /// Reads up to `most` bytes ahead.
    pub(crate) async fn read_ahead(&mut self, most: usize) -> Result<(), BodyError> {
        let Some(rest) = &mut self.rest else {
            return Ok(());
        };
        let mut read = BytesMut::from(&self.prefix[..]);
        let mut complete = false;
        while !complete && read.len() < most {
            match rest.frame().await {
                None => complete = true,
                Some(frame) => {
                    let data = frame?.into_data().unwrap_or_default();
                    self.left = take(self.left, &data, self.limit)?;
                    read.extend_from_slice(&data);
                    complete = rest.is_end_stream();
                }
            }
        }
        self.prefix = read.freeze();
        if complete {
            self.rest = None;
        }
        Ok(())
    }
}

fn take(left: u64, data: &Bytes, limit: u64) -> Result<u64, BodyError> {
    left.checked_sub(data.len() as u64)
        .ok_or(BodyError::TooLarge { limit })
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        loop {
            let Some(rest) = &mut self.rest else {
                return Poll::Ready(None);
            };
            let Some(frame) = ready!(Pin::new(rest).poll_frame(cx)) else {
                return Poll::Ready(None);
            };
            // Trailers belong to the caller's connection.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            match take(self.left, &data, self.limit) {
                Ok(left) => self.left = left,
                Err(error) => {
                    self.oversized.store(true, Ordering::Relaxed);
                    return Poll::Ready(Some(Err(error)));
                }
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.prefix.len() as u64;
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

/// Body to the caller.
#[derive(Debug)]
pub(crate) enum Download {
    /// Known in whole.
    Full(Option<Bytes>),
    /// Streamed from the backend server.
    Stream(Incoming, Box<Exchange>),
}

impl Download {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Streams a response; `exchange` is told when it is complete.
    pub(crate) fn stream(body: Incoming, mut exchange: Box<Exchange>) -> Self {
        if body.is_end_stream() {
            exchange.complete();
        }
        Self::Stream(body, exchange)
    }

    /// Reads the whole body, if it has at most `most` bytes.
    pub(crate) async fn collect(mut self, most: usize) -> Result<Bytes, BodyError> {
        let mut read = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let data = frame?.into_data().unwrap_or_default();
            if read.len() + data.len() > most {
                let limit = most as u64;
                return Err(BodyError::TooLarge { limit });
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}

impl Body for Download {
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
                    exchange.cut();
                    return Poll::Ready(Some(Err(error)));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    exchange.data(&data);
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
