//! Load of a backend server.

use std::cmp::Ordering;

/// Encoded size of a load in bytes.
pub(crate) const LOAD_BYTES: usize = 8;

/// Load of a backend server, as its agent sees it.
///
/// Loads are ordered by requests in progress per slot, then by open flows per slot; those without
/// slots come last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress or queued at the backend server.
    pub busy: u16,
    /// Requests that it can run at the same time; 0 if it accepts no work.
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

    /// Whether it accepts new work at all.
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
        // Cross-multiplication avoids rounded quotients.
        let scaled = |value: u32, other: &Self| u64::from(value) * u64::from(other.slots);
        let by_availability = other.takes_work().cmp(&self.takes_work());
        by_availability
            .then_with(|| scaled(self.busy.into(), other).cmp(&scaled(other.busy.into(), self)))
            .then_with(|| scaled(self.open, other).cmp(&scaled(other.open, self)))
            .then_with(|| {
                (self.slots, self.busy, self.open).cmp(&(other.slots, other.busy, other.open))
            })
    }
}
