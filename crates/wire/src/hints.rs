//! What the placement and the search of opaque flows need.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64;

use crate::WireError;
use crate::header::{FLAGS_AT, PRIORITY_AT, array, put_address, take_address};
use crate::load::{LOAD_BYTES, Load};

/// Bytes of the hints without a sweep.
const HINT_BYTES: usize = 6 + 1 + LOAD_BYTES + 2;

/// Bytes of a sweep.
const SWEEP_BYTES: usize = 6 + 1 + 8;

/// Hop of the lightest candidate while there is none.
const NO_HOP: u8 = u8::MAX;

const FLAG_HINTS: u8 = 4;
const FLAG_OWNED: u8 = 8;
const FLAG_DOUBTFUL: u8 = 16;
const FLAG_SWEEP: u8 = 32;

/// Search of a flow at every member, one after the other in the order of their addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sweep {
    /// Where it began; it ends before it comes there again.
    pub start: SocketAddrV4,
    /// Members visited.
    pub visits: u8,
    /// Sum over them.
    seen: u64,
}

impl Sweep {
    /// A sweep that has visited nobody.
    #[must_use]
    pub fn new(start: SocketAddrV4) -> Self {
        Self {
            start,
            visits: 0,
            seen: 0,
        }
    }

    /// The same after a visit.
    #[must_use]
    pub fn visited(self, member: SocketAddrV4) -> Self {
        let mut raw = Vec::with_capacity(6);
        put_address(&mut raw, member);
        Self {
            visits: self.visits.saturating_add(1),
            seen: self.seen.wrapping_add(xxh3_64(&raw)),
            ..self
        }
    }

    /// Place of a member in the order; the start is the first.
    #[must_use]
    pub fn place(&self, member: SocketAddrV4) -> u64 {
        let number = |address: SocketAddrV4| {
            u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
        };
        number(member).wrapping_sub(number(self.start))
    }

    /// Whether exactly these members were visited.
    #[must_use]
    pub fn covers(&self, members: impl Iterator<Item = SocketAddrV4>) -> bool {
        members.fold(Self::new(self.start), Self::visited).seen == self.seen
    }
}

/// What the placement and the search of opaque flows need; absent otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hints {
    /// Where the balancer that sent the packet wants to be told the owner.
    pub origin: Option<SocketAddrV4>,
    /// The balancer takes the first candidate for the owner.
    pub owned: bool,
    /// An agent that was visited may hold the flow without knowing it.
    pub doubtful: bool,
    /// Order of the route under overload; 0 goes first.
    pub priority: u8,
    /// Time in ms within which an answer is wanted; 0 says nothing.
    pub wanted_ms: u16,
    /// Hop and load of the lightest candidate that a SYN has visited.
    pub lightest: Option<(u8, Load)>,
    /// Search beyond the balancer's list.
    pub sweep: Option<Sweep>,
}

impl Hints {
    /// Bits for the header's byte of flags.
    pub(crate) fn flags(&self) -> u8 {
        (u8::from(*self != Self::default()) * FLAG_HINTS)
            | (u8::from(self.owned) * FLAG_OWNED)
            | (u8::from(self.doubtful) * FLAG_DOUBTFUL)
            | (u8::from(self.sweep.is_some()) * FLAG_SWEEP)
    }

    pub(crate) fn put(&self, out: &mut Vec<u8>) {
        if *self == Self::default() {
            return;
        }
        let unknown = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        put_address(out, self.origin.unwrap_or(unknown));
        let (hop, load) = self.lightest.unwrap_or((NO_HOP, Load::default()));
        out.push(hop);
        out.extend_from_slice(&load.to_bytes());
        out.extend_from_slice(&self.wanted_ms.to_be_bytes());
        if let Some(sweep) = &self.sweep {
            put_address(out, sweep.start);
            out.push(sweep.visits);
            out.extend_from_slice(&sweep.seen.to_be_bytes());
        }
    }

    /// Reads the hints of a datagram, and where they end.
    pub(crate) fn take(raw: &[u8], at: usize) -> Result<(Self, usize), WireError> {
        let flags = raw[FLAGS_AT];
        if flags & FLAG_HINTS == 0 {
            return Ok((Self::default(), at));
        }
        let origin = take_address(raw, at)?;
        let hop = array::<1>(raw, at + 6)?[0];
        let load = Load::from_bytes(array(raw, at + 7)?);
        let end = at + HINT_BYTES;
        let sweep = if flags & FLAG_SWEEP == 0 {
            None
        } else {
            Some(Sweep {
                start: take_address(raw, end)?,
                visits: array::<1>(raw, end + 6)?[0],
                seen: u64::from_be_bytes(array(raw, end + 7)?),
            })
        };
        let hints = Self {
            origin: Some(origin).filter(|origin| origin.port() != 0),
            owned: flags & FLAG_OWNED != 0,
            doubtful: flags & FLAG_DOUBTFUL != 0,
            priority: raw[PRIORITY_AT],
            wanted_ms: u16::from_be_bytes(array(raw, at + 7 + LOAD_BYTES)?),
            lightest: (hop != NO_HOP).then_some((hop, load)),
            sweep,
        };
        let sweep_bytes = if sweep.is_some() { SWEEP_BYTES } else { 0 };
        Ok((hints, end + sweep_bytes))
    }
}
