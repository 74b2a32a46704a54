//! Checksummed log and snapshot files in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the folder |
//! | `vote` | id, term and vote; replaced as a whole |
//! | `log-<first index>` | records with consecutive indexes |
//! | `snapshot-<index>` | state after the record with this index |
//!
//! Numbers are big endian. A record is: length of the payload u32, crc32c u32
//! over everything else, kind u8, term u64, index u64, payload. Nothing counts
//! before [`Store::sync`] has returned without an error; after an error the
//! staged records stay staged, and calling it again repeats the write.
//!
//! A record that the end of the log cuts off was never synced and is removed
//! with a warning. Any other damage is an error: synced records may be lost, and
//! a replica that votes without them could help to commit something else.

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
