//! MessagePack over HTTP between the system's processes.
//!
//! Each body ends in a tag, a keyed BLAKE3 hash over the path and the body. A
//! reply's tag also covers the tag of its request, so that a reply can't be
//! taken for the answer to another request. Replay of a whole request is not
//! prevented here: every message is idempotent or carries a version.

mod client;
mod error;
mod key;
mod server;

pub use client::{Client, Route};
pub use error::RpcError;
pub use key::{Key, KeyError, TAG_BYTES, Tag};
pub use server::{Request, plain, refuse};
