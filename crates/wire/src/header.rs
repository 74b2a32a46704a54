//! Outer header of packet datagrams.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Deref;

use rpc::{Key, TAG_BYTES};
use units::{Epoch, Incarnation, ServiceId};

use crate::hints::Hints;
use crate::notice::{self, Notice};
use crate::{PacketError, WireError};

/// Maximum number of candidates in a header.
pub const MAX_CANDIDATES: usize = 16;

/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1720;

/// Maximum size of an inner packet in bytes.
pub const MAX_INNER_BYTES: usize = 1420;

/// First two bytes of every datagram.
const MAGIC: u16 = 0x4A53;

const VERSION: u8 = 4;

pub(crate) const KIND_PACKET: u8 = 1;
pub(crate) const KIND_NOTICE: u8 = 2;

/// Size of the fixed part, before the candidates of a packet or the owner of a notice.
pub(crate) const FIXED_BYTES: usize = 20;

/// Encoded size of a candidate.
pub(crate) const CANDIDATE_BYTES: usize = 14;

/// Bytes of the inner packet covered by the tag; the TCP checksum covers the rest.
const TAGGED_INNER_BYTES: usize = 64;

const HOP_OFFSET: usize = 4;
pub(crate) const COUNT_OFFSET: usize = 5;
pub(crate) const FLAGS_OFFSET: usize = 6;
pub(crate) const PRIORITY_OFFSET: usize = 7;

const FLAG_LOOKUP: u8 = 1;
const FLAG_ACCEPT: u8 = 2;

/// Agent that may own or accept a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// UDP address.
    pub address: SocketAddrV4,
    /// Incarnation of the agent.
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

/// Ordered candidates without duplicates, stored inline.
#[derive(Debug, Clone, Copy, Default)]
pub struct Candidates {
    list: [Candidate; MAX_CANDIDATES],
    len: u8,
}

impl Candidates {
    /// Appends a candidate unless it is already present or the list is full.
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

    /// Keeps at most the first `max` candidates.
    pub fn truncate(&mut self, max: usize) {
        self.len = self.len.min(u8::try_from(max).unwrap_or(u8::MAX));
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

/// Handling of a SYN at agents that don't own its flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flags {
    /// Try every candidate as the owner before any of them accepts.
    pub lookup: bool,
    /// No candidate owns the flow: the first one that can accepts it.
    pub accept: bool,
}

impl Flags {
    fn to_byte(self, hints: &Hints) -> u8 {
        (u8::from(self.lookup) * FLAG_LOOKUP)
            | (u8::from(self.accept) * FLAG_ACCEPT)
            | hints.flag_bits()
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
    /// Index of the addressed candidate.
    pub hop: u8,
    /// Flags.
    pub flags: Flags,
    /// Service.
    pub service: ServiceId,
    /// Epoch of the newest table used on the path so far; 0 marks a redirected packet.
    pub epoch: Epoch,
    /// Candidates.
    pub candidates: Candidates,
    /// Hints for opaque flows.
    pub hints: Hints,
}

impl Header {
    /// The addressed candidate.
    #[must_use]
    pub fn target(&self) -> Option<Candidate> {
        self.candidates.get(usize::from(self.hop)).copied()
    }

    /// Whether more candidates follow the addressed one.
    #[must_use]
    pub fn has_next(&self) -> bool {
        usize::from(self.hop) + 1 < self.candidates.len()
    }

    /// Header for the candidate after the addressed one.
    #[must_use]
    pub fn next_hop(&self, flags: Flags) -> Self {
        Self {
            hop: self.hop + 1,
            flags,
            ..*self
        }
    }

    /// Header for the candidate at index `hop`.
    #[must_use]
    pub fn with_hop(&self, hop: u8, flags: Flags) -> Self {
        Self {
            hop,
            flags,
            ..*self
        }
    }

    /// Header of a packet that is redirected to `owner`.
    ///
    /// The list has the addressed agent, the owner, then the other candidates. The owner therefore
    /// sends no notice to the agent, and a wrong redirect still reaches every candidate. Epoch 0
    /// prevents a second redirect.
    #[must_use]
    pub fn redirected(&self, owner: Candidate, flags: Flags) -> Self {
        let rest = self.candidates.iter().copied();
        let candidates = self.target().into_iter().chain([owner]).chain(rest);
        Self {
            hop: 1,
            flags,
            epoch: REDIRECTED_EPOCH,
            candidates: candidates.collect(),
            hints: Hints {
                sweep: None,
                ..self.hints
            },
            ..*self
        }
    }

    /// Whether an agent redirected the packet to the owner that it knows.
    #[must_use]
    pub fn is_redirected(&self) -> bool {
        self.epoch == REDIRECTED_EPOCH
    }

    /// Whether the first candidate redirected the packet and the next one is addressed.
    #[must_use]
    pub fn is_redirected_at_first_hop(&self) -> bool {
        self.is_redirected() && self.hop == 1
    }

    /// Home agent of the flow: the first candidate apart from the owner that the balancer assumes.
    #[must_use]
    pub fn home_agent(&self) -> Option<Candidate> {
        let index = usize::from(self.hints.owner_first && self.candidates.len() > 1);
        self.candidates.get(index).copied()
    }

    /// First candidate, if it forwarded the packet without knowing the owner.
    #[must_use]
    pub fn relay(&self) -> Option<Candidate> {
        (self.hop > 0 && !self.is_redirected_at_first_hop())
            .then(|| self.candidates.first().copied())
            .flatten()
    }
}

/// Epoch of redirected packets; no table has epoch 0.
const REDIRECTED_EPOCH: Epoch = Epoch(0);

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
        /// The caller's packet, not validated.
        inner: &'a [u8],
    },
    /// Ownership notice.
    Notice(Notice),
}

fn tagged_part(inner: &[u8]) -> &[u8] {
    &inner[..inner.len().min(TAGGED_INNER_BYTES)]
}

pub(crate) fn write_address(out: &mut Vec<u8>, address: SocketAddrV4) {
    out.extend_from_slice(&address.ip().octets());
    out.extend_from_slice(&address.port().to_be_bytes());
}

pub(crate) fn read_address(raw: &[u8], offset: usize) -> Result<SocketAddrV4, WireError> {
    let ip = Ipv4Addr::from(read_array::<4>(raw, offset)?);
    let port = u16::from_be_bytes(read_array(raw, offset + 4)?);
    Ok(SocketAddrV4::new(ip, port))
}

pub(crate) fn write_candidate(out: &mut Vec<u8>, candidate: &Candidate) {
    write_address(out, candidate.address);
    out.extend_from_slice(&candidate.incarnation.0.to_be_bytes());
}

pub(crate) fn write_fixed(
    out: &mut Vec<u8>,
    kind: u8,
    fields: [u8; 4],
    service: ServiceId,
    epoch: Epoch,
) {
    out.extend_from_slice(&MAGIC.to_be_bytes());
    out.extend_from_slice(&[VERSION, kind]);
    out.extend_from_slice(&fields);
    out.extend_from_slice(&service.0.to_be_bytes());
    out.extend_from_slice(&epoch.0.to_be_bytes());
}

/// Writes a packet datagram to `out`, which is cleared first.
///
/// # Errors
/// If the list is empty, the hop is beyond its end, or the packet is too long.
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
    if inner.len() > MAX_INNER_BYTES {
        return Err(WireError::TooLong(inner.len()));
    }
    out.clear();
    write_fixed(
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
        write_candidate(out, candidate);
    }
    header.hints.write(out);
    let tag = key.tag(&[out, tagged_part(inner)]);
    out[HOP_OFFSET] = header.hop;
    out.extend_from_slice(&tag);
    out.extend_from_slice(inner);
    Ok(())
}

/// Changes the hop of an encoded packet, which the tag does not cover.
pub fn set_hop(datagram: &mut [u8], hop: u8) {
    if let Some(byte) = datagram.get_mut(HOP_OFFSET) {
        *byte = hop;
    }
}

pub(crate) fn read_array<const N: usize>(raw: &[u8], offset: usize) -> Result<[u8; N], WireError> {
    raw.get(offset..offset + N)
        .and_then(|part| part.try_into().ok())
        .ok_or(WireError::Truncated)
}

pub(crate) fn read_candidate(raw: &[u8], offset: usize) -> Result<Candidate, WireError> {
    let incarnation = Incarnation(u64::from_be_bytes(read_array(raw, offset + 6)?));
    Ok(Candidate {
        address: read_address(raw, offset)?,
        incarnation,
    })
}

/// Decodes a datagram and checks its tag.
///
/// # Errors
/// If it is malformed or was not sent with the key of this deployment.
pub fn decode<'a>(key: &Key, datagram: &'a [u8]) -> Result<Message<'a>, WireError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(WireError::TooLong(datagram.len()));
    }
    let fixed: [u8; FIXED_BYTES] = read_array(datagram, 0)?;
    if u16::from_be_bytes([fixed[0], fixed[1]]) != MAGIC || fixed[2] != VERSION {
        return Err(WireError::Format);
    }
    let service = ServiceId(u32::from_be_bytes(read_array(&fixed, 8)?));
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
    let hop = datagram[HOP_OFFSET];
    let count = usize::from(datagram[COUNT_OFFSET]);
    if count == 0 || count > MAX_CANDIDATES || usize::from(hop) >= count {
        return Err(WireError::Candidates);
    }
    let hints_offset = FIXED_BYTES + count * CANDIDATE_BYTES;
    let (hints, tag_offset) = Hints::read(datagram, hints_offset)?;
    let tag: [u8; TAG_BYTES] = read_array(datagram, tag_offset)?;
    let inner = &datagram[tag_offset + TAG_BYTES..];
    if inner.is_empty() {
        return Err(WireError::Truncated);
    }
    if inner.len() > MAX_INNER_BYTES {
        return Err(WireError::TooLong(inner.len()));
    }
    let (before, after) = (
        &datagram[..HOP_OFFSET],
        &datagram[HOP_OFFSET + 1..tag_offset],
    );
    if !key.verify_tag(&[before, &[0], after, tagged_part(inner)], &tag) {
        return Err(WireError::Tag);
    }
    let epoch = Epoch(u64::from_be_bytes(read_array(datagram, 12)?));
    let mut candidates = Candidates::default();
    for index in 0..count {
        candidates.push(read_candidate(
            datagram,
            FIXED_BYTES + index * CANDIDATE_BYTES,
        )?);
    }
    if candidates.len() != count {
        return Err(WireError::Candidates);
    }
    let header = Header {
        hop,
        flags: Flags::from_byte(datagram[FLAGS_OFFSET]),
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
