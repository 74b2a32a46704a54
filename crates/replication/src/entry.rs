//! Defines log entries and snapshots.

use std::fmt;
use std::sync::Arc;

use serde::de::{Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize, Serializer};

use crate::Config;

/// Opaque bytes that are cheap to clone; encoded as a MessagePack binary.
#[derive(Clone, PartialEq, Eq)]
pub struct Command(pub Arc<[u8]>);

impl fmt::Debug for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Command({} bytes)", self.0.len())
    }
}

impl From<Vec<u8>> for Command {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl Serialize for Command {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Command {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_bytes(CommandVisitor)
    }
}

struct CommandVisitor;

impl<'de> Visitor<'de> for CommandVisitor {
    type Value = Command;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Command, E> {
        Ok(Command(bytes.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Command, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term; committing it also commits the entries of earlier terms.
    Empty,
    /// Command for the state machine.
    Command(Command),
    /// Membership, in effect as soon as the entry is in the log, even before it is committed.
    Config(Config),
}

/// Log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: u64,
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Command, membership, or marker of a new term.
    pub payload: Payload,
}

impl Entry {
    /// Approximate encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.0.len(),
            Payload::Config(config) => 64 * config.members.len(),
        };
        content + 32
    }
}

/// Snapshot of the state machine, which replaces all log entries up to an index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub config: Config,
    /// Encoded state of the state machine.
    pub data: Command,
}
