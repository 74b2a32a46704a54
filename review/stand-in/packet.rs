//! Packets as PROTOCOL.md lays them out, with a sum that only clients and hosts know.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const RST: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 8;
pub const FIN: u8 = 16;
pub const ACK: u8 = 128;

const HEAD: usize = 31;
const SUM_KEY: u32 = 0x5eed_1234;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(source: SocketAddrV4, target: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            source,
            target,
            flags,
            seq,
            ack,
            data: Vec::new(),
        }
    }

    pub fn has(&self, bits: u8) -> bool {
        self.flags & bits == bits
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; HEAD];
        let mut put = |at: usize, bytes: &[u8]| out[at..at + bytes.len()].copy_from_slice(bytes);
        put(0, &(self.data.len() as u16).to_le_bytes());
        put(2, &[self.flags]);
        put(7, &self.source.port().to_le_bytes());
        put(9, &self.source.ip().to_bits().to_le_bytes());
        put(13, &self.target.ip().to_bits().to_le_bytes());
        put(17, &self.target.port().to_le_bytes());
        put(23, &self.seq.to_le_bytes());
        put(27, &self.ack.to_le_bytes());
        out.extend_from_slice(&self.data);
        let sum = sum(&out).to_le_bytes();
        out[3..7].copy_from_slice(&sum);
        out
    }

    /// Reads a packet, and tells whether its sum is that of its sender.
    pub fn decode(raw: &[u8]) -> Option<(Self, bool)> {
        if raw.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([raw[at], raw[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]]);
        let end =
            |at: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from(u32_at(at)), u16_at(port));
        let packet = Self {
            source: end(9, 7),
            target: end(13, 17),
            flags: raw[2],
            seq: u32_at(23),
            ack: u32_at(27),
            data: raw[HEAD..].to_vec(),
        };
        let genuine = usize::from(u16_at(0)) == raw.len() - HEAD && u32_at(3) == sum(raw);
        Some((packet, genuine))
    }

    /// Whether this is a reset of the system's own.
    pub fn is_system_reset(&self, raw: &[u8]) -> bool {
        self.flags == RST && self.data.is_empty() && raw[3..7] == [0; 4]
    }
}

/// Keyed FNV-1a over everything but the sum itself, `echo` and BOUNCED.
fn sum(raw: &[u8]) -> u32 {
    let mut hash = 0x811c_9dc5 ^ SUM_KEY;
    for (at, byte) in raw.iter().enumerate() {
        if (3..7).contains(&at) || (19..23).contains(&at) {
            continue;
        }
        let byte = if at == 2 { byte & !BOUNCED } else { *byte };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash.max(1)
}
