//! Datagrams between balancers and agents, and checks of the packets within.
//!
//! A datagram is an outer header, a tag and either one packet of a caller or a
//! flow notice; all numbers are big endian. Decoding checks every length before it
//! reads and allocates nothing for packets.

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
    Candidate, Candidates, Flags, Header, MAX_CANDIDATES, MAX_DATAGRAM, MAX_INNER, Message, decode,
    encode_packet, set_hop,
};
pub use hints::{Hints, Sweep};
pub use inspect::{Segment, inspect};
pub use load::Load;
pub use notice::{MAX_NOTICE_FLOWS, Notice, encode_notice};
