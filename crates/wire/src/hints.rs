//! Header fields for the placement and the search of opaque flows.

use std::net::{Ipv4Addr, SocketAddrV4};

use xxhash_rust::xxh3::xxh3_64;

use crate::WireError;
use crate::header::{FLAGS_OFFSET, PRIORITY_OFFSET, read_address, read_array, write_address};
use crate::load::{LOAD_BYTES, Load};

/// Encoded size of the hints without a sweep.
const HINT_BYTES: usize = 6 + 1 + LOAD_BYTES + 2;

/// Encoded size of a sweep.
const SWEEP_BYTES: usize = 6 + 1 + 8;

/// Encoded hop while there is no least loaded candidate.
const NO_HOP: u8 = u8::MAX;

const FLAG_HINTS: u8 = 4;
const FLAG_OWNER_FIRST: u8 = 8;
const FLAG_OWNER_UNCERTAIN: u8 = 16;
const FLAG_SWEEP: u8 = 32;
const FLAG_RETURN_UNHELD: u8 = 64;

/// `owner_uncertain` of a packet with [`FLAG_RETURN_UNHELD`]. Such a packet always has
/// [`FLAG_OWNER_UNCERTAIN`], so that agents of earlier versions, which don't know the flag, drop
/// the packet instead of resetting its flow.
const FLAG_VISIT_UNCERTAIN: u8 = 128;

/// Search for the owner of a flow that visits all members in the order of their addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sweep {
    /// Member at which the search starts; it ends before it would reach that one again.
    pub start: SocketAddrV4,
    /// Number of visited members.
    pub visits: u8,
    /// Wrapping sum of the hashes of the visited addresses.
    visited_sum: u64,
}

impl Sweep {
    /// A sweep that has visited no member yet.
    #[must_use]
    pub fn new(start: SocketAddrV4) -> Self {
        Self {
            start,
            visits: 0,
            visited_sum: 0,
        }
    }

    /// The sweep after a visit to `member`.
    #[must_use]
    pub fn visited(self, member: SocketAddrV4) -> Self {
        let mut raw = Vec::with_capacity(6);
        write_address(&mut raw, member);
        Self {
            visits: self.visits.saturating_add(1),
            visited_sum: self.visited_sum.wrapping_add(xxh3_64(&raw)),
            ..self
        }
    }

    /// Position of a member in the search order; the start has position 0.
    #[must_use]
    pub fn position(&self, member: SocketAddrV4) -> u64 {
        let to_number = |address: SocketAddrV4| {
            u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
        };
        to_number(member).wrapping_sub(to_number(self.start))
    }

    /// Whether exactly these members were visited, in any order.
    #[must_use]
    pub fn covers(&self, members: impl Iterator<Item = SocketAddrV4>) -> bool {
        members
            .fold(Self::new(self.start), Self::visited)
            .visited_sum
            == self.visited_sum
    }
}

/// Fields for the placement and the search of opaque flows; not encoded if all have defaults.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Hints {
    /// Address of the balancer that sent the packet, to which the owner reports.
    pub origin: Option<SocketAddrV4>,
    /// The balancer assumes that the first candidate owns the flow.
    pub owner_first: bool,
    /// A visited agent may own the flow without knowing it; for example, it delivered a copy of the SYN.
    pub owner_uncertain: bool,
    /// If no backend server of the service has the flow, the packet goes back to the balancer, which
    /// knows the other services of the route and whether its view is current. Balancers set this for
    /// every packet of an open flow, those of earlier versions only if the route has other services, and
    /// for every SYN: one that no agent accepts goes back to the balancer, which knows of its copies.
    pub return_unheld: bool,
    /// Priority of the route under overload; 0 is the highest.
    pub priority: u8,
    /// Target latency of the response in milliseconds; 0 if there is none.
    pub latency_target_ms: u16,
    /// Hop and load of the least loaded candidate that a SYN has visited.
    pub least_loaded: Option<(u8, Load)>,
    /// Search beyond the candidates of the balancer.
    pub sweep: Option<Sweep>,
}

impl Hints {
    /// Bits for the flags byte of the header.
    pub(crate) fn flag_bits(&self) -> u8 {
        (u8::from(*self != Self::default()) * FLAG_HINTS)
            | (u8::from(self.owner_first) * FLAG_OWNER_FIRST)
            | (u8::from(self.owner_uncertain || self.return_unheld) * FLAG_OWNER_UNCERTAIN)
            | (u8::from(self.return_unheld) * FLAG_RETURN_UNHELD)
            | (u8::from(self.owner_uncertain && self.return_unheld) * FLAG_VISIT_UNCERTAIN)
            | (u8::from(self.sweep.is_some()) * FLAG_SWEEP)
    }

    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        if *self == Self::default() {
            return;
        }
        let unknown = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        write_address(out, self.origin.unwrap_or(unknown));
        let (hop, load) = self.least_loaded.unwrap_or((NO_HOP, Load::default()));
        out.push(hop);
        out.extend_from_slice(&load.to_bytes());
        out.extend_from_slice(&self.latency_target_ms.to_be_bytes());
        if let Some(sweep) = &self.sweep {
            write_address(out, sweep.start);
            out.push(sweep.visits);
            out.extend_from_slice(&sweep.visited_sum.to_be_bytes());
        }
    }

    /// Reads the hints of a datagram; returns them and the offset of their end.
    pub(crate) fn read(raw: &[u8], offset: usize) -> Result<(Self, usize), WireError> {
        let flags = raw[FLAGS_OFFSET];
        if flags & FLAG_HINTS == 0 {
            return Ok((Self::default(), offset));
        }
        let origin = read_address(raw, offset)?;
        let hop = read_array::<1>(raw, offset + 6)?[0];
        let load = Load::from_bytes(read_array(raw, offset + 7)?);
        let end = offset + HINT_BYTES;
        let sweep = if flags & FLAG_SWEEP == 0 {
            None
        } else {
            Some(Sweep {
                start: read_address(raw, end)?,
                visits: read_array::<1>(raw, end + 6)?[0],
                visited_sum: u64::from_be_bytes(read_array(raw, end + 7)?),
            })
        };
        let return_unheld = flags & FLAG_RETURN_UNHELD != 0;
        let uncertain_flag = if return_unheld {
            FLAG_VISIT_UNCERTAIN
        } else {
            FLAG_OWNER_UNCERTAIN
        };
        let hints = Self {
            origin: Some(origin).filter(|origin| origin.port() != 0),
            owner_first: flags & FLAG_OWNER_FIRST != 0,
            owner_uncertain: flags & uncertain_flag != 0,
            return_unheld,
            priority: raw[PRIORITY_OFFSET],
            latency_target_ms: u16::from_be_bytes(read_array(raw, offset + 7 + LOAD_BYTES)?),
            least_loaded: (hop != NO_HOP).then_some((hop, load)),
            sweep,
        };
        let sweep_bytes = if sweep.is_some() { SWEEP_BYTES } else { 0 };
        Ok((hints, end + sweep_bytes))
    }
}
