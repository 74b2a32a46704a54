//! Device that hands one packet in and passes packets out to a closure.

use smoltcp::phy::{ChecksumCapabilities, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest IPv4 packet in bytes.
pub const MTU: usize = 1420;

/// Exists for the duration of one call into smoltcp.
pub(crate) struct Link<'a, S> {
    pub(crate) packet: Option<&'a [u8]>,
    pub(crate) send: S,
}

impl<S: FnMut(&[u8])> Device for Link<'_, S> {
    type RxToken<'a>
        = Incoming<'a>
    where
        Self: 'a;
    type TxToken<'a>
        = Outgoing<'a, S>
    where
        Self: 'a;

    fn receive(&mut self, _: Instant) -> Option<(Incoming<'_>, Outgoing<'_, S>)> {
        let packet = self.packet.take()?;
        Some((Incoming(packet), Outgoing(&mut self.send)))
    }

    fn transmit(&mut self, _: Instant) -> Option<Outgoing<'_, S>> {
        Some(Outgoing(&mut self.send))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities.checksum = ChecksumCapabilities::default();
        capabilities
    }
}

pub(crate) struct Incoming<'a>(&'a [u8]);

impl RxToken for Incoming<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(self.0)
    }
}

pub(crate) struct Outgoing<'a, S>(&'a mut S);

impl<S: FnMut(&[u8])> TxToken for Outgoing<'_, S> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = [0; MTU];
        let packet = &mut packet[..len.min(MTU)];
        let result = f(packet);
        (self.0)(packet);
        result
    }
}
