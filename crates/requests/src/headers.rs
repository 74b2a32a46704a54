//! Headers that pass the agent.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

use crate::outcome::{DEADLINE_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Headers of one connection only.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers of one connection, also those that `Connection` names.
fn remove_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP) {
        // A sender must not be able to remove the length of its message.
        if *name != CONTENT_LENGTH {
            headers.remove(name);
        }
    }
}

/// Headers of a caller's request for the backend server.
pub(crate) fn clean_request(headers: &mut HeaderMap) {
    remove_hop(headers);
    for name in [EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove(DEADLINE_HEADER);
    headers.remove(REQUEST_ID_HEADER);
}

/// Headers of a backend server's response for the caller.
pub(crate) fn clean_response(headers: &mut HeaderMap) {
    remove_hop(headers);
    headers.remove(OUTCOME_HEADER);
    headers.remove(REQUEST_ID_HEADER);
}

/// Time left, as the backend server is told.
pub(crate) fn set_deadline(headers: &mut HeaderMap, left_ms: u64, id: u64) {
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from(id));
}

/// A header as a number, if it is one.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
