//! Authenticated requests and replies in dropshot handlers.

use dropshot::{Body, ClientErrorStatusCode, HttpError, UntypedBody};
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Key, Tag};

/// Content type of authenticated bodies.
pub const CONTENT_TYPE: &str = "application/octet-stream";

/// Request with a verified tag.
#[derive(Debug)]
pub struct Request<T> {
    /// Decoded message.
    pub message: T,
    path: &'static str,
    tag: Tag,
}

impl<T: DeserializeOwned> Request<T> {
    /// Verifies and decodes the body of a request to `path`.
    ///
    /// # Errors
    /// Status 403 for a wrong tag, 400 for a body that can't be decoded.
    pub fn verify(key: &Key, path: &'static str, body: &UntypedBody) -> Result<Self, HttpError> {
        let Some((body, tag)) = key.verify_body(path, &[], body.as_bytes()) else {
            return Err(HttpError::for_client_error(
                None,
                ClientErrorStatusCode::FORBIDDEN,
                crate::TAG_MISMATCH.into(),
            ));
        };
        let message = rmp_serde::from_slice(body)
            .map_err(|e| HttpError::for_bad_request(None, format!("{path}: {e}")))?;
        Ok(Self { message, path, tag })
    }
}

impl<T> Request<T> {
    /// Encodes an answer whose tag also covers the tag of this request.
    ///
    /// # Errors
    /// Status 500 if the answer can't be encoded.
    pub fn reply<A: Serialize>(&self, key: &Key, answer: &A) -> Result<Response<Body>, HttpError> {
        let body = self.encode_reply(key, answer)?;
        response(StatusCode::OK, CONTENT_TYPE, body)
    }

    /// Encodes the body of such an answer; its type is [`CONTENT_TYPE`].
    ///
    /// # Errors
    /// Status 500 if the answer can't be encoded.
    pub fn encode_reply<A: Serialize>(&self, key: &Key, answer: &A) -> Result<Vec<u8>, HttpError> {
        let body = rmp_serde::to_vec_named(answer)
            .map_err(|e| HttpError::for_internal_error(format!("{}: {e}", self.path)))?;
        Ok(key.sign_body(self.path, &self.tag, body))
    }
}

/// Builds an unauthenticated response.
///
/// # Errors
/// Status 500 if `content_type` is not a valid header value.
pub fn response(
    status: StatusCode,
    content_type: &str,
    body: Vec<u8>,
) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, content_type)
        .body(Body::from(body))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Builds an unauthenticated plain-text response, such as an error message.
///
/// # Errors
/// See [`response`].
pub fn text_response(status: StatusCode, message: &str) -> Result<Response<Body>, HttpError> {
    response(status, "text/plain", message.as_bytes().to_vec())
}
