//! The four-tuple of a TCP flow.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::QuantityError;

/// A TCP flow: caller and service address.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{caller}>{service}")]
pub struct Flow {
    /// Caller address and port.
    pub caller: SocketAddrV4,
    /// Service address and port.
    pub service: SocketAddrV4,
}

/// Encoded size of a flow in bytes.
pub const FLOW_BYTES: usize = 12;

impl Flow {
    /// Encodes caller, then service, each as IPv4 address and port in big endian.
    #[must_use]
    pub fn to_bytes(self) -> [u8; FLOW_BYTES] {
        let mut out = [0; FLOW_BYTES];
        out[..4].copy_from_slice(&self.caller.ip().octets());
        out[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        out[6..10].copy_from_slice(&self.service.ip().octets());
        out[10..].copy_from_slice(&self.service.port().to_be_bytes());
        out
    }

    /// Decodes the result of [`Flow::to_bytes`].
    #[must_use]
    pub fn from_bytes(raw: [u8; FLOW_BYTES]) -> Self {
        let addr = |offset: usize| {
            let ip = Ipv4Addr::new(
                raw[offset],
                raw[offset + 1],
                raw[offset + 2],
                raw[offset + 3],
            );
            SocketAddrV4::new(ip, u16::from_be_bytes([raw[offset + 4], raw[offset + 5]]))
        };
        Self {
            caller: addr(0),
            service: addr(6),
        }
    }

    /// Hash that is the same in every process.
    #[must_use]
    pub fn hash(self) -> u64 {
        xxh3_64(&self.to_bytes())
    }
}

impl FromStr for Flow {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            text: text.into(),
            expected: "a flow as caller>service",
        };
        let (caller, service) = text.split_once('>').ok_or_else(error)?;
        Ok(Self {
            caller: caller.parse().map_err(|_| error())?,
            service: service.parse().map_err(|_| error())?,
        })
    }
}
