//! Packets of clients and hosts, as the platform's pages describe them.

use std::net::{Ipv4Addr, SocketAddrV4};

const HEAD: usize = 31;
/// Key of the sums; the system does not know it.
const KEY: u64 = 0x7b1d_52c9_03e8_41af;

pub const RST: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 8;
pub const FIN: u8 = 16;
pub const ACK: u8 = 128;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    /// Sum as received.
    pub sum: u32,
}

impl Packet {
    pub fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Self {
        Self {
            src,
            dst,
            flags,
            echo: 0,
            seq,
            ack,
            data: Vec::new(),
            sum: 0,
        }
    }

    pub fn has(&self, bits: u8) -> bool {
        self.flags & bits == bits
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut raw = vec![0; HEAD];
        raw[0..2].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        raw[2] = self.flags;
        raw[7..9].copy_from_slice(&self.src.port().to_le_bytes());
        raw[9..13].copy_from_slice(&u32::from(*self.src.ip()).to_le_bytes());
        raw[13..17].copy_from_slice(&u32::from(*self.dst.ip()).to_le_bytes());
        raw[17..19].copy_from_slice(&self.dst.port().to_le_bytes());
        raw[19..23].copy_from_slice(&self.echo.to_le_bytes());
        raw[23..27].copy_from_slice(&self.seq.to_le_bytes());
        raw[27..31].copy_from_slice(&self.ack.to_le_bytes());
        raw.extend_from_slice(&self.data);
        let sum = keyed_sum(&raw);
        raw[3..7].copy_from_slice(&sum.to_le_bytes());
        raw
    }

    /// Reads a packet; the second value tells whether the sum is that of a client or host.
    pub fn decode(raw: &[u8]) -> Option<(Self, bool)> {
        if raw.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([raw[at], raw[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]]);
        let end =
            |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        let data = raw[HEAD..].to_vec();
        if usize::from(u16_at(0)) != data.len() {
            return None;
        }
        let packet = Self {
            src: end(9, 7),
            dst: end(13, 17),
            flags: raw[2],
            echo: u32_at(19),
            seq: u32_at(23),
            ack: u32_at(27),
            data,
            sum: u32_at(3),
        };
        let genuine = packet.sum == keyed_sum(raw);
        Some((packet, genuine))
    }
}

/// Sum over all fields but itself, `echo` and BOUNCED; never 0, which marks resets of the system.
fn keyed_sum(raw: &[u8]) -> u32 {
    let mut hash = KEY;
    for (at, byte) in raw.iter().enumerate() {
        let byte = match at {
            2 => byte & !BOUNCED,
            3..=6 | 19..=22 => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        hash ^= hash >> 29;
    }
    (hash as u32).max(1)
}
