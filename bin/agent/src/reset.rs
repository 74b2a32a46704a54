//! RST in the name of the service for a segment that no connection takes.

use etherparse::PacketBuilder;
use wire::Segment;

/// Hop limit of the answer.
const TTL: u8 = 64;

/// Writes the answer to `out`, which is cleared first; empty if it can't be built.
pub fn answer(segment: &Segment, out: &mut Vec<u8>) {
    out.clear();
    let (caller, service) = (segment.flow.caller, segment.flow.service);
    let seq = if segment.ack { segment.ack_number } else { 0 };
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TTL)
        .tcp(service.port(), caller.port(), seq, 0)
        .rst();
    let built = if segment.ack {
        builder.write(out, &[])
    } else {
        let control = u32::from(segment.syn) + u32::from(segment.fin);
        let payload = u32::try_from(segment.payload).unwrap_or(0);
        let next = segment.seq.wrapping_add(payload).wrapping_add(control);
        builder.ack(next).write(out, &[])
    };
    if built.is_err() {
        out.clear();
    }
}
