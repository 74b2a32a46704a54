//! Checksummed log and snapshot files.

mod error;

pub use error::StorageError;
