//! MessagePack over HTTP between the system's processes.
//!
//! Each body ends in an authentication tag, a keyed BLAKE3 hash over the path
//! and the body. The tag of a reply also covers the tag of its request, so a
//! reply can't be accepted as the answer to another request. Bodies are not
//! encrypted. Replays of whole requests are not detected: every message is
//! idempotent or carries a version.

mod client;
mod error;
mod key;
mod server;
mod traffic;

pub use client::{AddressOverride, Client, LargeAnswerLimits};
pub use error::RpcError;
pub use key::{Key, KeyError, TAG_BYTES, Tag};
pub use server::{CONTENT_TYPE, Request, response, text_response};
pub use traffic::Traffic;

/// Error message for a body whose tag does not match.
const TAG_MISMATCH: &str = "wrong tag; do both processes use the same key file?";
