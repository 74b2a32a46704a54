//! Truncated and corrupted files: a torn write at the end of the log is repaired,
//! any other damage is reported, and no synced record is lost silently.

mod common;

use std::fs;
use std::path::Path;

use common::{files, folder, indexes, open};
use quickcheck::{QuickCheck, TestResult};
use storage::{Snapshot, StorageError};

fn is_damaged(folder: &Path) -> bool {
    match open(folder) {
        Err(error @ StorageError::Damaged { .. }) => {
            let text = error.to_string();
            assert!(
                text.contains("must not vote") && text.contains("learner"),
                "{text}"
            );
            true
        }
        _ => false,
    }
}

/// Applies a bit mask to one byte of a file.
fn corrupt_byte(path: &Path, offset: usize, mask: u8) {
    let mut raw = fs::read(path).expect("read");
    let offset = offset % raw.len();
    raw[offset] ^= mask;
    fs::write(path, raw).expect("write");
}

/// Guards against damage that is mistaken for a torn write: one changed byte at any
/// offset of any segment, including the last record.
#[test]
fn changed_byte_in_the_log_is_reported() {
    let dir = folder(20);
    for path in files(dir.path(), "log-") {
        let raw = fs::read(&path).expect("read");
        for offset in 0..raw.len() {
            for mask in [1, 0x80, 0xff] {
                corrupt_byte(&path, offset, mask);
                assert!(
                    is_damaged(dir.path()),
                    "{} byte {offset} mask {mask}",
                    path.display()
                );
                fs::write(&path, &raw).expect("write");
            }
        }
    }
    open(dir.path()).expect("undamaged again");
}

/// Guards against a panic and against a decoded record when the last segment holds
/// arbitrary bytes.
#[test]
fn arbitrary_bytes_are_not_a_record() {
    fn property(content: Vec<u8>) -> bool {
        let dir = folder(5);
        let path = dir.path().join("log-00000000000000000006");
        fs::write(path, content).expect("write");
        match open(dir.path()) {
            Ok((store, _)) => store.last_index() == 5,
            Err(error) => matches!(error, StorageError::Damaged { .. }),
        }
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against complete records that are removed along with a torn write, and
/// against a torn write that prevents the replica from starting.
#[test]
fn torn_write_at_the_end_is_removed() {
    let dir = folder(12);
    let path = files(dir.path(), "log-").pop().expect("segment");
    let complete_file = fs::read(&path).expect("read");
    let (_, contents) = open(dir.path()).expect("open");
    let first_index: u64 = path
        .to_string_lossy()
        .rsplit('-')
        .next()
        .expect("name")
        .parse()
        .expect("number");
    let mut ends = vec![0];
    for record in contents.records.iter().filter(|r| r.index >= first_index) {
        ends.push(ends.last().expect("end") + 25 + record.payload.len());
    }
    for length in 0..complete_file.len() {
        fs::write(&path, &complete_file[..length]).expect("write");
        let (store, contents) = open(dir.path()).expect("open");
        let complete = ends.iter().filter(|e| **e <= length).count() as u64 - 1;
        assert_eq!(
            store.last_index(),
            first_index - 1 + complete,
            "truncated to {length}"
        );
        assert_eq!(indexes(&contents).len() as u64, first_index - 1 + complete);
        let is_torn = !ends.contains(&length);
        assert_eq!(
            contents.warnings.len(),
            usize::from(is_torn),
            "truncated to {length}"
        );
        drop(store);
        let (_, again) = open(dir.path()).expect("open");
        assert!(again.warnings.is_empty(), "the torn write is still there");
    }
}

/// Guards against zeros being reported as damage: a file system may extend the file
/// before it writes the data, and a crash in between leaves zeros.
#[test]
fn zeros_at_the_end_are_removed() {
    let dir = folder(12);
    let path = files(dir.path(), "log-").pop().expect("segment");
    let mut raw = fs::read(&path).expect("read");
    raw.extend([0; 100]);
    fs::write(&path, raw).expect("write");
    let (store, contents) = open(dir.path()).expect("open");
    assert_eq!((store.last_index(), contents.warnings.len()), (12, 1));
}

/// Guards against records that are missing between segments.
#[test]
fn missing_or_truncated_segments_are_reported() {
    let dir = folder(40);
    let segments = files(dir.path(), "log-");
    for path in &segments[..segments.len() - 1] {
        let raw = fs::read(path).expect("read");
        for length in [0, 1, raw.len() / 2, raw.len() - 1] {
            fs::write(path, &raw[..length]).expect("write");
            assert!(
                is_damaged(dir.path()),
                "{} truncated to {length}",
                path.display()
            );
        }
        fs::remove_file(path).expect("remove");
        assert!(is_damaged(dir.path()), "{} removed", path.display());
        fs::write(path, raw).expect("write");
    }
    open(dir.path()).expect("undamaged again");
}

/// Guards against the use of a corrupted or truncated vote or snapshot.
#[test]
fn changed_vote_or_snapshot_is_reported() {
    fn property(is_vote: bool, offset: usize, mask: u8, truncate: bool) -> TestResult {
        if mask == 0 {
            return TestResult::discard();
        }
        let dir = folder(10);
        let (mut store, _) = open(dir.path()).expect("open");
        let (metadata, data) = (vec![1; 20], vec![2; 50]);
        store
            .write_snapshot(&Snapshot {
                index: 10,
                term: 4,
                metadata,
                data,
            })
            .expect("snapshot");
        drop(store);
        let path = files(dir.path(), if is_vote { "vote" } else { "snapshot-" }).remove(0);
        if truncate {
            let raw = fs::read(&path).expect("read");
            fs::write(&path, &raw[..offset % raw.len()]).expect("write");
        } else {
            corrupt_byte(&path, offset, mask);
        }
        TestResult::from_bool(is_damaged(dir.path()))
    }
    QuickCheck::new().quickcheck(property as fn(bool, usize, u8, bool) -> TestResult);
}

/// Guards against a replica that has lost its vote and could vote again in the same
/// term, although it still has a log.
#[test]
fn missing_vote_is_reported() {
    let dir = folder(3);
    fs::remove_file(dir.path().join("vote")).expect("remove");
    assert!(is_damaged(dir.path()));
}
