//! Outer header of packets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Deref;

use rpc::{Key, TAG_BYTES};
use units::{Epoch, Incarnation, ServiceId};

use crate::hints::Hints;
use crate::notice::{self, Notice};
use crate::{PacketError, WireError};

/// Most candidates in a header.
pub const MAX_CANDIDATES: usize = 16;

/// Largest datagram in bytes.
pub const MAX_DATAGRAM: usize = 1720;

/// Largest inner packet in bytes.
pub const MAX_INNER: usize = 1420;

/// First two bytes of every datagram.
const MAGIC: u16 = 0x4A53;

const VERSION: u8 = 4;

pub(crate) const KIND_PACKET: u8 = 1;
pub(crate) const KIND_NOTICE: u8 = 2;

/// Bytes before the candidates of a packet, or before the owner of a notice.
pub(crate) const FIXED_BYTES: usize = 20;

/// Bytes of a candidate.
pub(crate) const CANDIDATE_BYTES: usize = 14;

/// Bytes of the inner packet that the tag covers; the TCP checksum covers the rest.
const TAGGED_INNER: usize = 64;

const HOP_AT: usize = 4;
pub(crate) const FLAGS_AT: usize = 6;
pub(crate) const PRIORITY_AT: usize = 7;

const FLAG_LOOKUP: u8 = 1;
const FLAG_ACCEPT: u8 = 2;

/// Agent that may hold or accept a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// UDP address.
    pub address: SocketAddrV4,
    /// Start of the agent.
    pub incarnation: Incarnation,
}

impl Default for Candidate {
    fn default() -> Self {
        Self {
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            incarnation: Incarnation(0),
        }
    }
}

/// Candidates in order, on the stack and without repeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidates {
    list: [Candidate; MAX_CANDIDATES],
    len: u8,
}

impl Candidates {
    /// Appends a candidate unless it is there already or the list is full.
    pub fn push(&mut self, candidate: Candidate) {
        let len = usize::from(self.len);
        if len < MAX_CANDIDATES && !self.contains(&candidate) {
            self.list[len] = candidate;
            self.len += 1;
        }
    }

    /// Removes the last candidate.
    pub fn pop(&mut self) {
        self.len = self.len.saturating_sub(1);
    }

    /// Keeps the first candidates.
    pub fn truncate(&mut self, most: usize) {
        self.len = self.len.min(u8::try_from(most).unwrap_or(u8::MAX));
    }
}

impl Deref for Candidates {
    type Target = [Candidate];

    fn deref(&self) -> &[Candidate] {
        &self.list[..usize::from(self.len)]
    }
}

impl PartialEq for Candidates {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl Eq for Candidates {}

impl FromIterator<Candidate> for Candidates {
    fn from_iter<I: IntoIterator<Item = Candidate>>(iter: I) -> Self {
        let mut list = Self::default();
        for candidate in iter {
            list.push(candidate);
        }
        list
    }
}

/// How agents treat a SYN that they don't hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// Look for a holder along the whole list before anyone accepts.
    pub lookup: bool,
    /// No candidate holds it: the first one that can accepts.
    pub accept: bool,
}

impl Flags {
    fn to_byte(self, hints: &Hints) -> u8 {
        (u8::from(self.lookup) * FLAG_LOOKUP)
            | (u8::from(self.accept) * FLAG_ACCEPT)
            | hints.flags()
    }

    fn from_byte(byte: u8) -> Self {
        Self {
            lookup: byte & FLAG_LOOKUP != 0,
            accept: byte & FLAG_ACCEPT != 0,
        }
    }
}

/// Outer header of a packet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Header {
    /// Index of the candidate addressed.
    pub hop: u8,
    /// Flags.
    pub flags: Flags,
    /// Service.
    pub service: ServiceId,
    /// Newest table on the way so far.
    pub epoch: Epoch,
    /// Candidates.
    pub candidates: Candidates,
    /// Hints for opaque flows.
    pub hints: Hints,
}

impl Header {
    /// Candidate addressed.
    #[must_use]
    pub fn target(&self) -> Option<Candidate> {
        self.candidates.get(usize::from(self.hop)).copied()
    }

    /// Whether candidates follow the one addressed.
    #[must_use]
    pub fn has_next(&self) -> bool {
        usize::from(self.hop) + 1 < self.candidates.len()
    }

    /// The same packet for the candidate after the one addressed.
    #[must_use]
    pub fn next(&self, flags: Flags) -> Self {
        Self {
            hop: self.hop + 1,
            flags,
            ..*self
        }
    }

    /// The same packet for a candidate of the list.
    #[must_use]
    pub fn at(&self, hop: u8, flags: Flags) -> Self {
        Self {
            hop,
            flags,
            ..*self
        }
    }

    /// The agent addressed, the owner, then the rest, so that the owner learns nothing new, and a
    /// wrong redirect still leads to every candidate. Epoch 0 keeps it from being redirected again.
    #[must_use]
    pub fn redirected(&self, owner: Candidate, flags: Flags) -> Self {
        let rest = self.candidates.iter().copied();
        let candidates = self.target().into_iter().chain([owner]).chain(rest);
        Self {
            hop: 1,
            flags,
            epoch: REDIRECTED,
            candidates: candidates.collect(),
            hints: Hints {
                sweep: None,
                ..self.hints
            },
            ..*self
        }
    }

    /// Whether an agent sent the packet to the owner it knows.
    #[must_use]
    pub fn is_redirected(&self) -> bool {
        self.epoch == REDIRECTED
    }

    /// Whether the first candidate sent the packet straight to the owner it knows.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.is_redirected() && self.hop == 1
    }

    /// Home of the flow: the first candidate, behind the one that the balancer takes for the owner.
    #[must_use]
    pub fn home(&self) -> Option<Candidate> {
        let behind = usize::from(self.hints.owned && self.candidates.len() > 1);
        self.candidates.get(behind).copied()
    }

    /// First candidate, if it sent the packet on without knowing the owner.
    #[must_use]
    pub fn relay(&self) -> Option<Candidate> {
        (self.hop > 0 && !self.is_informed())
            .then(|| self.candidates.first().copied())
            .flatten()
    }
}

/// Epoch of redirected packets; no table has it.
const REDIRECTED: Epoch = Epoch(0);

/// A decoded datagram.
#[expect(
    clippy::large_enum_variant,
    reason = "a packet header stays on the stack; boxing it would allocate for each packet"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message<'a> {
    /// Inner packet with its header.
    Packet {
        /// Header.
        header: Header,
        /// The caller's packet, not inspected.
        inner: &'a [u8],
    },
    /// Flow notice.
    Notice(Notice),
}

fn tagged(inner: &[u8]) -> &[u8] {
    &inner[..inner.len().min(TAGGED_INNER)]
}

pub(crate) fn put_address(out: &mut Vec<u8>, address: SocketAddrV4) {
    out.extend_from_slice(&address.ip().octets());
    out.extend_from_slice(&address.port().to_be_bytes());
}

pub(crate) fn take_address(raw: &[u8], at: usize) -> Result<SocketAddrV4, WireError> {
    let ip = Ipv4Addr::from(array::<4>(raw, at)?);
    let port = u16::from_be_bytes(array(raw, at + 4)?);
    Ok(SocketAddrV4::new(ip, port))
}

pub(crate) fn put_candidate(out: &mut Vec<u8>, candidate: &Candidate) {
    put_address(out, candidate.address);
    out.extend_from_slice(&candidate.incarnation.0.to_be_bytes());
}

pub(crate) fn put_fixed(
    out: &mut Vec<u8>,
    kind: u8,
    header: [u8; 4],
    service: ServiceId,
    epoch: Epoch,
) {
    out.extend_from_slice(&MAGIC.to_be_bytes());
    out.extend_from_slice(&[VERSION, kind]);
    out.extend_from_slice(&header);
    out.extend_from_slice(&service.0.to_be_bytes());
    out.extend_from_slice(&epoch.0.to_be_bytes());
}

/// Writes a packet datagram to `out`, which is cleared first.
///
/// # Errors
/// When the list is empty, the hop beyond it, or the packet too long.
pub fn encode_packet(
    key: &Key,
    header: &Header,
    inner: &[u8],
    out: &mut Vec<u8>,
) -> Result<(), WireError> {
    let count = header.candidates.len();
    if count == 0 || usize::from(header.hop) >= count {
        return Err(WireError::Candidates);
    }
    if inner.len() > MAX_INNER {
        return Err(WireError::TooLong(inner.len()));
    }
    out.clear();
    put_fixed(
        out,
        KIND_PACKET,
        [
            0,
            count as u8,
            header.flags.to_byte(&header.hints),
            header.hints.priority,
        ],
        header.service,
        header.epoch,
    );
    for candidate in header.candidates.iter() {
        put_candidate(out, candidate);
    }
    header.hints.put(out);
    let tag = key.tag(&[out, tagged(inner)]);
    out[HOP_AT] = header.hop;
    out.extend_from_slice(&tag);
    out.extend_from_slice(inner);
    Ok(())
}

/// Changes the hop of an encoded packet; the tag does not cover it.
pub fn set_hop(datagram: &mut [u8], hop: u8) {
    if let Some(byte) = datagram.get_mut(HOP_AT) {
        *byte = hop;
    }
}

pub(crate) fn array<const N: usize>(raw: &[u8], at: usize) -> Result<[u8; N], WireError> {
    raw.get(at..at + N)
        .and_then(|part| part.try_into().ok())
        .ok_or(WireError::Truncated)
}

pub(crate) fn take_candidate(raw: &[u8], at: usize) -> Result<Candidate, WireError> {
    let incarnation = Incarnation(u64::from_be_bytes(array(raw, at + 6)?));
    Ok(Candidate {
        address: take_address(raw, at)?,
        incarnation,
    })
}

/// Decodes a datagram and checks its tag.
///
/// # Errors
/// When it is not a datagram of this deployment.
pub fn decode<'a>(key: &Key, datagram: &'a [u8]) -> Result<Message<'a>, WireError> {
    if datagram.len() > MAX_DATAGRAM {
        return Err(WireError::TooLong(datagram.len()));
    }
    let fixed: [u8; FIXED_BYTES] = array(datagram, 0)?;
    if u16::from_be_bytes([fixed[0], fixed[1]]) != MAGIC || fixed[2] != VERSION {
        return Err(WireError::Format);
    }
    let service = ServiceId(u32::from_be_bytes(array(&fixed, 8)?));
    match fixed[3] {
        KIND_PACKET => decode_packet(key, datagram, service),
        KIND_NOTICE => notice::decode(key, datagram, service).map(Message::Notice),
        _ => Err(WireError::Format),
    }
}

fn decode_packet<'a>(
    key: &Key,
    datagram: &'a [u8],
    service: ServiceId,
) -> Result<Message<'a>, WireError> {
    let hop = datagram[HOP_AT];
    let count = usize::from(datagram[5]);
    if count == 0 || count > MAX_CANDIDATES || usize::from(hop) >= count {
        return Err(WireError::Candidates);
    }
    let hints_at = FIXED_BYTES + count * CANDIDATE_BYTES;
    let (hints, tag_at) = Hints::take(datagram, hints_at)?;
    let tag: [u8; TAG_BYTES] = array(datagram, tag_at)?;
    let inner = &datagram[tag_at + TAG_BYTES..];
    if inner.is_empty() {
        return Err(WireError::Truncated);
    }
    if inner.len() > MAX_INNER {
        return Err(WireError::TooLong(inner.len()));
    }
    let (before, after) = (&datagram[..HOP_AT], &datagram[HOP_AT + 1..tag_at]);
    if !key.verify_tag(&[before, &[0], after, tagged(inner)], &tag) {
        return Err(WireError::Tag);
    }
    let epoch = Epoch(u64::from_be_bytes(array(datagram, 12)?));
    let mut candidates = Candidates::default();
    for index in 0..count {
        candidates.push(take_candidate(
            datagram,
            FIXED_BYTES + index * CANDIDATE_BYTES,
        )?);
    }
    if candidates.len() != count {
        return Err(WireError::Candidates);
    }
    let header = Header {
        hop,
        flags: Flags::from_byte(datagram[FLAGS_AT]),
        service,
        epoch,
        candidates,
        hints,
    };
    Ok(Message::Packet { header, inner })
}

impl From<WireError> for PacketError {
    fn from(error: WireError) -> Self {
        match error {
            WireError::TooLong(_) => Self::TooLong,
            _ => Self::Truncated,
        }
    }
}
