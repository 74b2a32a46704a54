//! Reading a segment, and telling a torn end from damage.

use std::path::Path;

use crate::StorageError;
use crate::record::{HEADER, Head, Record};

/// Distance of indexes up to which bytes after damage are taken for a record.
const PLAUSIBLE: u64 = 1 << 20;

/// Records of a segment.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    pub(crate) records: Vec<Record>,
    /// Position of each record, in bytes.
    pub(crate) offsets: Vec<u64>,
    /// End of the last complete record, in bytes.
    pub(crate) end: usize,
}

/// Reads records that follow `last` (index and term; `None` for any) up to the
/// end of the file or to a torn record.
pub(crate) fn scan(
    path: &Path,
    raw: &[u8],
    mut last: Option<(u64, u64)>,
) -> Result<Scan, StorageError> {
    let mut scan = Scan::default();
    while scan.end < raw.len() {
        let rest = &raw[scan.end..];
        let Some(record) = Head::read(rest).and_then(|head| head.record(rest)) else {
            check_torn(path, scan.end, rest, last.map_or(0, |(index, _)| index))?;
            break;
        };
        if let Some((index, term)) = last
            && (record.index != index + 1 || record.term < term)
        {
            let message = format!(
                "record {} of term {} follows record {index} of term {term}",
                record.index, record.term
            );
            return Err(StorageError::damaged(path, scan.end, message));
        }
        last = Some((record.index, record.term));
        scan.offsets.push(scan.end as u64);
        scan.end += HEADER + record.payload.len();
        scan.records.push(record);
    }
    Ok(scan)
}

/// Accepts bytes that a crash during a write can leave at the end.
///
/// That is the beginning of a record, or zeros where a file system extended
/// the file before it wrote the data. A complete record with a wrong checksum
/// may have been synced, so it is damage.
fn check_torn(path: &Path, at: usize, rest: &[u8], last: u64) -> Result<(), StorageError> {
    let damaged = |message| Err(StorageError::damaged(path, at, message));
    if rest.iter().all(|b| *b == 0) {
        return Ok(());
    }
    let Some(head) = Head::read(rest) else {
        return Ok(());
    };
    if HEADER + head.length <= rest.len() {
        return damaged("wrong checksum of a record");
    }
    if head.is_valid(rest, rest.len() - HEADER) {
        return damaged("wrong length of a record");
    }
    let is_record = |from: usize| {
        let tail = &rest[from..];
        let head = Head::read(tail)
            .filter(|h| h.index > last && h.index - last <= PLAUSIBLE)
            .filter(|h| HEADER + h.length <= tail.len());
        head.is_some_and(|h| h.is_valid(tail, h.length))
    };
    if (1..rest.len()).any(is_record) {
        return damaged("a damaged record is followed by others");
    }
    Ok(())
}
