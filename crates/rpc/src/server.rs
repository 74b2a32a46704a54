//! Sealed bodies in dropshot handlers.

use dropshot::{Body, ClientErrorStatusCode, HttpError, UntypedBody};
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Key, Tag};

/// A request whose tag was right.
#[derive(Debug)]
pub struct Request<T> {
    /// The message.
    pub message: T,
    path: &'static str,
    tag: Tag,
}

impl<T: DeserializeOwned> Request<T> {
    /// Checks and decodes the body of a request to `path`.
    ///
    /// # Errors
    /// Status 403 for a wrong tag, 400 for a body that can't be decoded.
    pub fn open(key: &Key, path: &'static str, body: &UntypedBody) -> Result<Self, HttpError> {
        let Some((body, tag)) = key.open(path, &[], body.as_bytes()) else {
            let message = "wrong tag; do both processes use the same key file?".into();
            return Err(HttpError::for_client_error(
                None,
                ClientErrorStatusCode::FORBIDDEN,
                message,
            ));
        };
        let message = rmp_serde::from_slice(body)
            .map_err(|e| HttpError::for_bad_request(None, format!("{path}: {e}")))?;
        Ok(Self { message, path, tag })
    }
}

impl<T> Request<T> {
    /// Sealed answer to this request.
    ///
    /// # Errors
    /// Status 500 when the answer can't be encoded.
    pub fn reply<A: Serialize>(&self, key: &Key, answer: &A) -> Result<Response<Body>, HttpError> {
        let body = rmp_serde::to_vec_named(answer)
            .map_err(|e| HttpError::for_internal_error(format!("{}: {e}", self.path)))?;
        plain(
            StatusCode::OK,
            "application/octet-stream",
            key.seal(self.path, &self.tag, body),
        )
    }
}

/// Response with a body of a given type.
///
/// # Errors
/// Status 500 when the parts make no valid response.
pub fn plain(status: StatusCode, kind: &str, body: Vec<u8>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, kind)
        .body(Body::from(body))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Text response that refuses a request.
///
/// # Errors
/// Status 500 when the parts make no valid response.
pub fn refuse(status: StatusCode, message: &str) -> Result<Response<Body>, HttpError> {
    plain(status, "text/plain", message.as_bytes().to_vec())
}
