//! Checksummed log, snapshot and vote files in the data folder of a replica.
//!
//! | file | content |
//! |---|---|
//! | `lock` | file lock of the process that uses the folder |
//! | `vote` | id, term and vote; replaced atomically |
//! | `log-<first index>` | records with consecutive indexes |
//! | `snapshot-<index>` | state after the record with this index |
//! | `discard` | marks a folder whose other files are being removed |
//!
//! Integers are big endian. A record consists of the payload length (u32), a
//! crc32c over everything else (u32), kind (u8), term (u64), index (u64) and the
//! payload. Appended records are durable only once [`Store::sync`] has returned
//! without an error; after an error they stay staged, and the next call writes
//! them again.
//!
//! An incomplete record at the end of the log was never synced; it is removed
//! with a warning. Any other damage is an error: synced records may be lost, and
//! the vote of a replica without them could help to commit conflicting entries.

mod error;
mod files;
mod record;
mod scan;
mod segment;
mod snapshot;
mod store;
mod vote;

pub use error::StorageError;
pub use record::{MAX_PAYLOAD_BYTES, Record};
pub use snapshot::Snapshot;
pub use store::{Contents, Options, Store};
pub use vote::Identity;
