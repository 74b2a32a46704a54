//! Files that were cut off or changed: a torn end is repaired, all else is
//! reported, and no synced record is ever lost silently.

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

fn flip(path: &Path, at: usize, mask: u8) {
    let mut raw = fs::read(path).expect("read");
    let at = at % raw.len();
    raw[at] ^= mask;
    fs::write(path, raw).expect("write");
}

/// Guards against damage that is taken for a torn end: one changed byte at any
/// place in any segment, the last record included.
#[test]
fn changed_byte_in_the_log_is_reported() {
    let dir = folder(20);
    for path in files(dir.path(), "log-") {
        let raw = fs::read(&path).expect("read");
        for at in 0..raw.len() {
            for mask in [1, 0x80, 0xff] {
                flip(&path, at, mask);
                assert!(
                    is_damaged(dir.path()),
                    "{} byte {at} mask {mask}",
                    path.display()
                );
                fs::write(&path, &raw).expect("write");
            }
        }
    }
    open(dir.path()).expect("undamaged again");
}

/// Guards against a panic or a wrong record on any bytes in place of the last segment.
#[test]
fn noise_is_not_a_record() {
    fn property(noise: Vec<u8>) -> bool {
        let dir = folder(5);
        let path = dir.path().join("log-00000000000000000006");
        fs::write(path, noise).expect("write");
        match open(dir.path()) {
            Ok((store, _)) => store.last_index() == 5,
            Err(error) => matches!(error, StorageError::Damaged { .. }),
        }
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against complete records that vanish with a torn end, and against a
/// torn end that stops the replica.
#[test]
fn torn_end_is_removed() {
    let dir = folder(12);
    let path = files(dir.path(), "log-").pop().expect("segment");
    let whole = fs::read(&path).expect("read");
    let (_, contents) = open(dir.path()).expect("open");
    let first: u64 = path
        .to_string_lossy()
        .rsplit('-')
        .next()
        .expect("name")
        .parse()
        .expect("number");
    let mut ends = vec![0];
    for record in contents.records.iter().filter(|r| r.index >= first) {
        ends.push(ends.last().expect("end") + 25 + record.payload.len());
    }
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).expect("write");
        let (store, contents) = open(dir.path()).expect("open");
        let complete = ends.iter().filter(|e| **e <= length).count() as u64 - 1;
        assert_eq!(store.last_index(), first - 1 + complete, "cut at {length}");
        assert_eq!(indexes(&contents).len() as u64, first - 1 + complete);
        let torn = !ends.contains(&length);
        assert_eq!(
            contents.warnings.len(),
            usize::from(torn),
            "cut at {length}"
        );
        drop(store);
        let (_, again) = open(dir.path()).expect("open");
        assert!(again.warnings.is_empty(), "the torn end is still there");
    }
}

/// Guards against a file system that extended the file before a crash.
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
fn missing_or_short_segments_are_reported() {
    let dir = folder(40);
    let segments = files(dir.path(), "log-");
    for path in &segments[..segments.len() - 1] {
        let raw = fs::read(path).expect("read");
        for length in [0, 1, raw.len() / 2, raw.len() - 1] {
            fs::write(path, &raw[..length]).expect("write");
            assert!(is_damaged(dir.path()), "{} cut at {length}", path.display());
        }
        fs::remove_file(path).expect("remove");
        assert!(is_damaged(dir.path()), "{} removed", path.display());
        fs::write(path, raw).expect("write");
    }
    open(dir.path()).expect("undamaged again");
}

/// Guards against a vote or snapshot that is used although it changed.
#[test]
fn changed_vote_or_snapshot_is_reported() {
    fn property(vote: bool, at: usize, mask: u8, cut: bool) -> TestResult {
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
        let path = files(dir.path(), if vote { "vote" } else { "snapshot-" }).remove(0);
        if cut {
            let raw = fs::read(&path).expect("read");
            fs::write(&path, &raw[..at % raw.len()]).expect("write");
        } else {
            flip(&path, at, mask);
        }
        TestResult::from_bool(is_damaged(dir.path()))
    }
    QuickCheck::new().quickcheck(property as fn(bool, usize, u8, bool) -> TestResult);
}

/// Guards against a replica that forgot its vote but still has a log.
#[test]
fn missing_vote_is_reported() {
    let dir = folder(3);
    fs::remove_file(dir.path().join("vote")).expect("remove");
    assert!(is_damaged(dir.path()));
}
