//! Datagrams between balancers and agents, and validation of the packets inside them.
//!
//! A packet datagram has an outer header, an authentication tag and one packet of
//! a caller; a notice datagram lists flows that an agent owns. All numbers are big
//! endian. Decoding checks every length before it reads and allocates nothing for
//! packets.

mod codec;
mod error;
mod header;
mod hints;
mod inspect;
mod load;
mod notice;

pub use codec::{Codec, Outbound};
pub use error::{PacketError, WireError};
pub use header::{
    Candidate, Candidates, Flags, Header, MAX_CANDIDATES, MAX_DATAGRAM_BYTES, MAX_INNER_BYTES,
    Message, decode, encode_packet, set_hop,
};
pub use hints::{Hints, Sweep};
pub use inspect::{Segment, inspect};
pub use load::Load;
pub use notice::{MAX_NOTICE_FLOWS, Notice, encode_notice};
