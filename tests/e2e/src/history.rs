//! Histories of operations on one declaration, and whether they are linearizable.
//!
//! The declaration is a register with a version: a put succeeds only at the
//! version that it expects. The search tries each order of operations that
//! respects real time (Wing and Gong) and remembers the states it has seen.

use std::collections::HashSet;

/// Most operations of a history.
pub const MAX_OPS: usize = 128;

/// Result of a put.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Put {
    /// Accepted with this version.
    Accepted(u64),
    /// Refused, the declaration has this version.
    Conflict(u64),
    /// No answer: accepted at any later time, or never.
    Unknown,
}

/// What an operation did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Wrote a value that no other put wrote.
    Put {
        /// Version expected.
        expected: u64,
        /// Value.
        value: u64,
        /// Result.
        result: Put,
    },
    /// Read a version and value.
    Read {
        /// Version.
        version: u64,
        /// Value.
        value: u64,
    },
}

/// One operation; times are of one clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Op {
    /// Before it was sent.
    pub start: u64,
    /// After its answer; `u64::MAX` without one.
    pub end: u64,
    /// What it did.
    pub kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct State {
    /// `None` after a put without an answer, until something shows the version.
    version: Option<u64>,
    value: u64,
}

impl State {
    fn at(self, version: u64) -> Option<Self> {
        match self.version {
            Some(held) if held != version => None,
            _ => Some(Self {
                version: Some(version),
                ..self
            }),
        }
    }

    fn apply(self, kind: Kind) -> Option<Self> {
        match kind {
            Kind::Read { version, value } => self.at(version).filter(|_| self.value == value),
            Kind::Put {
                expected,
                value,
                result,
            } => match result {
                Put::Accepted(version) => {
                    self.at(expected)?;
                    (version > expected).then_some(Self {
                        version: Some(version),
                        value,
                    })
                }
                Put::Conflict(current) => self.at(current).filter(|_| current != expected),
                Put::Unknown => {
                    self.at(expected)?;
                    Some(Self {
                        version: None,
                        value,
                    })
                }
            },
        }
    }
}

/// Whether some order of the operations explains every answer.
///
/// # Panics
/// With more than [`MAX_OPS`] operations.
#[must_use]
pub fn is_linearizable(ops: &[Op], version: u64, value: u64) -> bool {
    assert!(ops.len() <= MAX_OPS, "{} operations", ops.len());
    let state = State {
        version: Some(version),
        value,
    };
    search(ops, 0, state, &mut HashSet::new())
}

fn search(ops: &[Op], done: u128, state: State, seen: &mut HashSet<(u128, State)>) -> bool {
    let left = |index: &usize| done & (1 << index) == 0;
    // An unanswered operation may never have happened.
    if (0..ops.len())
        .filter(left)
        .all(|index| ops[index].end == u64::MAX)
    {
        return true;
    }
    if !seen.insert((done, state)) {
        return false;
    }
    let first_end = (0..ops.len())
        .filter(left)
        .map(|index| ops[index].end)
        .min();
    let first_end = first_end.unwrap_or(u64::MAX);
    (0..ops.len()).filter(left).any(|index| {
        let op = ops[index];
        op.start <= first_end
            && state
                .apply(op.kind)
                .is_some_and(|next| search(ops, done | 1 << index, next, seen))
    })
}
