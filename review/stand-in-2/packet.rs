//! Packets of clients and hosts: a head of 31 bytes, little-endian, then data.

use std::net::Ipv4Addr;

pub const HEAD: usize = 31;
pub const RST: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 8;
pub const ACK: u8 = 128;

#[derive(Debug, Clone)]
pub struct Packet {
    pub flags: u8,
    /// Keyed sum of the sender; the system's own resets have 0.
    pub sum: u32,
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, bit: u8) -> bool {
        self.flags & bit != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.push(self.flags);
        out.extend(self.sum.to_le_bytes());
        out.extend(self.sport.to_le_bytes());
        out.extend(self.src.to_bits().to_le_bytes());
        out.extend(self.dst.to_bits().to_le_bytes());
        out.extend(self.dport.to_le_bytes());
        out.extend(self.echo.to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(raw: &[u8]) -> Option<Self> {
        if raw.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([raw[at], raw[at + 1]]);
        let u32_at =
            |at: usize| u32::from_le_bytes([raw[at], raw[at + 1], raw[at + 2], raw[at + 3]]);
        let data = raw[HEAD..].to_vec();
        if usize::from(u16_at(0)) != data.len() {
            return None;
        }
        Some(Self {
            flags: raw[2],
            sum: u32_at(3),
            sport: u16_at(7),
            src: Ipv4Addr::from_bits(u32_at(9)),
            dst: Ipv4Addr::from_bits(u32_at(13)),
            dport: u16_at(17),
            echo: u32_at(19),
            seq: u32_at(23),
            ack: u32_at(27),
            data,
        })
    }

    /// Sets a sum that is not 0 and depends on the fields that the sender wrote.
    pub fn sealed(mut self) -> Self {
        let mut sum: u32 = 0x811c_9dc5;
        let flags = self.flags & !BOUNCED;
        let head = [
            u32::from(flags),
            u32::from(self.sport),
            self.src.to_bits(),
            self.dst.to_bits(),
            u32::from(self.dport),
            self.seq,
            self.ack,
        ];
        let bytes = head.iter().flat_map(|n| n.to_le_bytes());
        for byte in bytes.chain(self.data.iter().copied()) {
            sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
        self.sum = sum | 1;
        self
    }
}
