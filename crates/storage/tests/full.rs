//! A full disk, simulated by a file size limit on this process.

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::{SigSet, Signal};
use storage::{Identity, Options, Snapshot, StorageError, Store};

const OPTIONS: Options = Options {
    segment_bytes: 1 << 20,
};

/// Guards against loss of synced records, records of a failed write that reappear
/// after a restart, and a store that stays unusable after space is freed.
#[test]
fn full_disk_keeps_synced_records() {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGXFSZ);
    signals.thread_block().expect("block the signal");
    let (soft, hard) = getrlimit(Resource::RLIMIT_FSIZE).expect("limit");

    let dir = tempfile::tempdir().expect("folder");
    let (mut store, _) = Store::open(dir.path(), OPTIONS).expect("open");
    store
        .save_identity(Identity {
            id: 1,
            term: 1,
            voted_for: 0,
        })
        .expect("save");
    setrlimit(Resource::RLIMIT_FSIZE, 2000, hard).expect("limit");
    let mut synced = 0;
    let error = loop {
        assert!(synced < 100, "100 records of 115 bytes fit into 2000 bytes");
        store.append((1, 1, synced + 1), &[7; 90]).expect("append");
        match store.sync() {
            Ok(()) => synced += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error}");
    assert!(error.to_string().contains("disk is full"), "{error}");
    let (metadata, data) = (Vec::new(), vec![0; 4000]);
    let snapshot = Snapshot {
        index: synced,
        term: 1,
        metadata,
        data,
    };
    let error = store.write_snapshot(&snapshot).expect_err("full");
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error}");
    store.sync().expect_err("still full");

    setrlimit(Resource::RLIMIT_FSIZE, soft, hard).expect("limit");
    drop(store);
    let (mut store, contents) = Store::open(dir.path(), OPTIONS).expect("open after full");
    let indexes = contents.records.iter().map(|r| r.index);
    assert!(indexes.eq(1..=synced), "records changed");

    setrlimit(Resource::RLIMIT_FSIZE, 2000, hard).expect("limit");
    store
        .append((1, 1, synced + 1), &[8; 3000])
        .expect("append");
    store.sync().expect_err("full again");
    setrlimit(Resource::RLIMIT_FSIZE, soft, hard).expect("limit");
    store
        .sync()
        .expect("the staged record is written once there is space");
    store.write_snapshot(&snapshot).expect("snapshot");
    drop(store);
    let (_, contents) = Store::open(dir.path(), OPTIONS).expect("open");
    assert_eq!(contents.records.last().map(|r| r.payload.len()), Some(3000));
    assert!(contents.warnings.is_empty(), "{:?}", contents.warnings);
}
