//! RST packets from the service address for segments without a connection.

use etherparse::PacketBuilder;
use wire::Segment;

/// IP time to live of the RST packet.
const TTL: u8 = 64;

/// Replaces `output` by the RST packet for a segment, or empties it if the packet can't be built.
pub fn write_reset(segment: &Segment, output: &mut Vec<u8>) {
    output.clear();
    let (caller, service) = (segment.flow.caller, segment.flow.service);
    let seq = if segment.ack { segment.ack_number } else { 0 };
    let builder = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TTL)
        .tcp(service.port(), caller.port(), seq, 0)
        .rst();
    let built = if segment.ack {
        builder.write(output, &[])
    } else {
        let control_flags = u32::from(segment.syn) + u32::from(segment.fin);
        let payload_len = u32::try_from(segment.payload).unwrap_or(0);
        let ack_number = segment
            .seq
            .wrapping_add(payload_len)
            .wrapping_add(control_flags);
        builder.ack(ack_number).write(output, &[])
    };
    if built.is_err() {
        output.clear();
    }
}
