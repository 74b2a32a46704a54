//! Records, snapshots and votes across restarts of a store.

mod common;

use common::{IDENTITY, SMALL_SEGMENTS, files, fill, folder, indexes, open, payload};
use storage::{Identity, Options, Snapshot, StorageError, Store};

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        metadata: b"members".to_vec(),
        data: vec![9; 300],
    }
}

/// Guards against records that are changed or lost by a restart.
#[test]
fn synced_records_are_kept_across_a_restart() {
    let dir = folder(50);
    let (store, contents) = open(dir.path()).expect("open");
    assert_eq!(contents.identity, Some(IDENTITY));
    assert_eq!(indexes(&contents), (1..=50).collect::<Vec<_>>());
    assert!(
        contents
            .records
            .iter()
            .all(|r| r.payload == payload(r.index) && r.term == 4)
    );
    assert!(contents.warnings.is_empty(), "{:?}", contents.warnings);
    assert_eq!(store.last_index(), 50);
    assert!(files(dir.path(), "log-").len() > 3);
}

/// Guards against staged records that are reported as synced ones.
#[test]
fn staged_records_are_lost_on_a_restart() {
    let dir = folder(5);
    let (mut store, _) = open(dir.path()).expect("open");
    store.append((1, 4, 6), b"x").expect("append");
    drop(store);
    let (_, contents) = open(dir.path()).expect("open");
    assert_eq!(indexes(&contents), [1, 2, 3, 4, 5]);
}

/// Guards against replaced records that reappear after a restart, with the conflict
/// at every index: in the staged records, in the last and in earlier segments.
#[test]
fn replaced_records_stay_replaced() {
    for from in 1..=30 {
        let dir = folder(25);
        let (mut store, _) = open(dir.path()).expect("open");
        for index in 26..=30 {
            store.append((1, 4, index), b"staged").expect("append");
        }
        store.append((2, 5, from), b"new").expect("append");
        store.sync().expect("sync");
        drop(store);
        let (_, contents) = open(dir.path()).expect("open");
        assert_eq!(indexes(&contents), (1..=from).collect::<Vec<_>>());
        let last = contents.records.last().expect("record");
        assert_eq!((last.term, &last.payload[..]), (5, &b"new"[..]));
    }
}

/// Guards against one write and sync per record when several are staged.
#[test]
fn staged_records_share_a_sync() {
    let dir = folder(0);
    let (mut store, _) = Store::open(dir.path(), Options::default()).expect("open");
    for index in 1..=1000 {
        store.append((1, 1, index), b"payload").expect("append");
    }
    assert_eq!(store.log_bytes(), 0, "written before the sync");
    store.sync().expect("sync");
    assert_eq!(store.log_bytes(), 1000 * (25 + 7));
    drop(store);
    let (_, contents) = open(dir.path()).expect("open");
    assert_eq!(contents.records.len(), 1000);
}

/// Guards against unbounded growth of the log, and against the removal of records
/// that the snapshot does not cover.
#[test]
fn compaction_keeps_records_after_the_snapshot() {
    let dir = folder(60);
    let (mut store, _) = open(dir.path()).expect("open");
    let before = store.log_bytes();
    store.write_snapshot(&snapshot(30, 4)).expect("snapshot");
    store.write_snapshot(&snapshot(40, 4)).expect("snapshot");
    store.compact(40).expect("compact");
    assert!(store.log_bytes() < before);
    drop(store);
    assert_eq!(files(dir.path(), "snapshot-").len(), 1);
    let (_, contents) = open(dir.path()).expect("open");
    assert_eq!(contents.snapshot, Some(snapshot(40, 4)));
    let kept = indexes(&contents);
    assert!(
        kept[0] > 1 && kept[0] <= 41 && kept.ends_with(&[60]),
        "{kept:?}"
    );
}

/// Guards against records of the old log after a snapshot of the leader was
/// installed, also when the process stops between writing the snapshot and removing
/// the log.
#[test]
fn installed_snapshot_replaces_the_log() {
    for crash in [false, true] {
        let dir = folder(20);
        let (mut store, _) = open(dir.path()).expect("open");
        let leader = snapshot(10, 5);
        if crash {
            store.write_snapshot(&leader).expect("snapshot");
        } else {
            store.install_snapshot(&leader).expect("install");
            fill(&mut store, 11..=12, 6);
        }
        drop(store);
        let (mut store, contents) = open(dir.path()).expect("open");
        let rest: &[u64] = if crash { &[] } else { &[11, 12] };
        assert_eq!(indexes(&contents), rest);
        let next = store.last_index() + 1;
        fill(&mut store, next..=14, 6);
    }
}

/// Guards against an index gap that is detected only at the next start.
#[test]
fn index_gaps_are_rejected() {
    let dir = folder(3);
    let (mut store, _) = open(dir.path()).expect("open");
    let error = store.append((1, 4, 5), b"").expect_err("gap");
    assert!(
        matches!(
            error,
            StorageError::IndexGap {
                index: 5,
                last_index: 3
            }
        ),
        "{error}"
    );
}

/// Guards against a lost vote, and against the use of a partially written vote file.
#[test]
fn last_saved_vote_is_restored() {
    let dir = folder(1);
    let (mut store, _) = open(dir.path()).expect("open");
    let vote = Identity {
        id: 3,
        term: 9,
        voted_for: 1,
    };
    store.save_identity(vote).expect("save");
    drop(store);
    std::fs::write(dir.path().join("vote.tmp"), b"half").expect("write");
    let (_, contents) = open(dir.path()).expect("open");
    assert_eq!(contents.identity, Some(vote));
    assert!(!dir.path().join("vote.tmp").exists());
}

/// Guards against two processes that use the same data folder.
#[test]
fn folder_is_locked() {
    let dir = folder(1);
    let (store, _) = open(dir.path()).expect("open");
    let error = open(dir.path()).expect_err("second");
    assert!(matches!(error, StorageError::Locked { .. }), "{error}");
    drop(store);
    Store::open(dir.path(), SMALL_SEGMENTS).expect("open after the other stopped");
}

/// Guards against an error that does not name the unusable folder.
#[test]
fn unusable_folder_is_named() {
    let dir = tempfile::tempdir().expect("folder");
    let path = dir.path().join("file");
    std::fs::write(&path, b"").expect("write");
    let error = open(&path).expect_err("not a folder");
    assert!(error.to_string().contains("file"), "{error}");
}
