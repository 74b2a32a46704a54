//! Device that passes one packet to smoltcp and emitted packets to a closure.

use smoltcp::phy::{ChecksumCapabilities, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Maximum size of an IPv4 packet in bytes.
pub const MTU: usize = 1420;

/// Device for a single call into smoltcp.
pub(crate) struct PacketDevice<'a, S> {
    pub(crate) packet: Option<&'a [u8]>,
    pub(crate) send: S,
}

impl<S: FnMut(&[u8])> Device for PacketDevice<'_, S> {
    type RxToken<'a>
        = RxPacket<'a>
    where
        Self: 'a;
    type TxToken<'a>
        = TxClosure<'a, S>
    where
        Self: 'a;

    fn receive(&mut self, _: Instant) -> Option<(RxPacket<'_>, TxClosure<'_, S>)> {
        let packet = self.packet.take()?;
        Some((RxPacket(packet), TxClosure(&mut self.send)))
    }

    fn transmit(&mut self, _: Instant) -> Option<TxClosure<'_, S>> {
        Some(TxClosure(&mut self.send))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities.checksum = ChecksumCapabilities::default();
        capabilities
    }
}

pub(crate) struct RxPacket<'a>(&'a [u8]);

impl RxToken for RxPacket<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(self.0)
    }
}

pub(crate) struct TxClosure<'a, S>(&'a mut S);

impl<S: FnMut(&[u8])> TxToken for TxClosure<'_, S> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = [0; MTU];
        let packet = &mut packet[..len.min(MTU)];
        let result = f(packet);
        (self.0)(packet);
        result
    }
}
