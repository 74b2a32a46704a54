//! The checker of operation histories, with good and bad ones.

use e2e::history::{Kind, Op, Put, is_linearizable};

fn put(start: u64, end: u64, expected: u64, value: u64, result: Put) -> Op {
    let kind = Kind::Put {
        expected,
        value,
        result,
    };
    Op { start, end, kind }
}

fn read(start: u64, end: u64, version: u64, value: u64) -> Op {
    let kind = Kind::Read { version, value };
    Op { start, end, kind }
}

/// Guards against a checker that refuses what is allowed.
#[test]
fn good_histories() {
    let never = u64::MAX;
    let good: [&[Op]; 6] = [
        &[],
        &[put(0, 9, 1, 7, Put::Accepted(2)), read(10, 11, 2, 7)],
        // A read at the same time may come first.
        &[put(0, 9, 1, 7, Put::Accepted(2)), read(3, 4, 1, 0)],
        // Of two puts with equal versions one wins.
        &[
            put(0, 9, 1, 7, Put::Accepted(2)),
            put(0, 9, 1, 8, Put::Conflict(2)),
        ],
        // An unanswered put may take effect late, or never.
        &[
            put(0, never, 1, 7, Put::Unknown),
            read(5, 6, 1, 0),
            read(8, 9, 2, 7),
        ],
        &[
            put(0, never, 1, 7, Put::Unknown),
            put(5, 6, 1, 8, Put::Accepted(2)),
            read(8, 9, 2, 8),
        ],
    ];
    for (index, ops) in good.iter().enumerate() {
        assert!(is_linearizable(ops, 1, 0), "history {index}");
    }
}

/// Guards against a checker that accepts everything.
#[test]
fn bad_histories() {
    let never = u64::MAX;
    let bad: [&[Op]; 7] = [
        // A stale read after an answered put.
        &[put(0, 1, 1, 7, Put::Accepted(2)), read(2, 3, 1, 0)],
        // Two puts with equal versions both win.
        &[
            put(0, 9, 1, 7, Put::Accepted(2)),
            put(0, 9, 1, 8, Put::Accepted(3)),
        ],
        // A change that reverts.
        &[
            put(0, 1, 1, 7, Put::Accepted(2)),
            read(2, 3, 2, 7),
            put(4, 5, 2, 8, Put::Accepted(3)),
            read(6, 7, 2, 7),
        ],
        // A refused put that took effect.
        &[put(0, 1, 5, 7, Put::Conflict(1)), read(2, 3, 2, 7)],
        // An unanswered put that is seen, then not, then seen again.
        &[
            put(0, never, 1, 7, Put::Unknown),
            read(1, 2, 2, 7),
            read(3, 4, 1, 0),
        ],
        // A value that nobody wrote.
        &[read(0, 1, 2, 9)],
        // A version that goes back.
        &[put(0, 1, 1, 7, Put::Accepted(1))],
    ];
    for (index, ops) in bad.iter().enumerate() {
        assert!(!is_linearizable(ops, 1, 0), "history {index}");
    }
}
