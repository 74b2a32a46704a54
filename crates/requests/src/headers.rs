//! Filtering of the headers that the agent forwards.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

use crate::outcome::{DEADLINE_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        // A sender must not be able to strip the length of its own message.
        if *name != CONTENT_LENGTH {
            headers.remove(name);
        }
    }
}

/// Removes the headers of a caller's request that the backend server must not see.
pub(crate) fn filter_request(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in [EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    headers.remove(DEADLINE_HEADER);
    headers.remove(REQUEST_ID_HEADER);
}

/// Removes the headers of a backend server's response that the caller must not see.
pub(crate) fn filter_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    headers.remove(OUTCOME_HEADER);
    headers.remove(REQUEST_ID_HEADER);
}

/// Tells the backend server the remaining time and the exchange ID.
pub(crate) fn set_exchange_headers(headers: &mut HeaderMap, remaining_ms: u64, id: u64) {
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining_ms));
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from(id));
}

/// Parses a header as a number; `None` if it is missing or not a number.
pub(crate) fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
