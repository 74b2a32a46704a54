//! Responses that count what the client takes of their body.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cadence::Counted;
use dropshot::{Body, HttpError};
use http::{Response, StatusCode, header};
use hyper::body::{Frame, SizeHint};

use super::response::HandlerResult;
use crate::node::Node;

/// Largest piece that is handed to the connection at once.
const PIECE_BYTES: usize = 16 << 10;

/// Response to a watch. Counts its bytes as the connection takes them, and whether the client left
/// before the end.
pub fn watch_response(node: &Arc<Node>, content: Vec<u8>) -> HandlerResult {
    let body = CountedBody {
        rest: content.into(),
        node: Arc::clone(node),
    };
    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, rpc::CONTENT_TYPE)
        .body(Body::wrap(body))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

struct CountedBody {
    rest: Bytes,
    node: Arc<Node>,
}

impl hyper::body::Body for CountedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let size = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(size);
        // Metrics are best effort; a full queue must not fail a request.
        let _sent = self.node.metrics.count("watch.bytes", size as u64);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if !self.rest.is_empty() {
            self.node.count_abandoned();
        }
    }
}
