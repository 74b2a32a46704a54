//! Load of an agent's backend server.

use std::cmp::Ordering;

/// Encoded size of a load in bytes.
pub(crate) const LOAD_BYTES: usize = 8;

/// Load of an agent's backend server, as the agent itself sees it.
///
/// Loads compare by requests in progress per slot, then by open flows per slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress or waiting at the backend server.
    pub busy: u16,
    /// Requests that it runs at the same time; 0 takes no work.
    pub slots: u16,
    /// Open flows.
    pub open: u32,
}

impl Load {
    /// Whether a slot is free.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.busy < self.slots
    }

    /// Whether it takes new work at all.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.slots > 0
    }

    pub(crate) fn to_bytes(self) -> [u8; LOAD_BYTES] {
        let [a, b] = self.busy.to_be_bytes();
        let [c, d] = self.slots.to_be_bytes();
        let [e, f, g, h] = self.open.to_be_bytes();
        [a, b, c, d, e, f, g, h]
    }

    pub(crate) fn from_bytes([a, b, c, d, e, f, g, h]: [u8; LOAD_BYTES]) -> Self {
        Self {
            busy: u16::from_be_bytes([a, b]),
            slots: u16::from_be_bytes([c, d]),
            open: u32::from_be_bytes([e, f, g, h]),
        }
    }
}

impl PartialOrd for Load {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Load {
    fn cmp(&self, other: &Self) -> Ordering {
        // Cross-multiplied, so that no quotient is rounded.
        let scaled = |value: u32, other: &Self| u64::from(value) * u64::from(other.slots);
        let works = other.takes_work().cmp(&self.takes_work());
        works
            .then_with(|| scaled(self.busy.into(), other).cmp(&scaled(other.busy.into(), self)))
            .then_with(|| scaled(self.open, other).cmp(&scaled(other.open, self)))
            .then_with(|| {
                (self.slots, self.busy, self.open).cmp(&(other.slots, other.busy, other.open))
            })
    }
}
