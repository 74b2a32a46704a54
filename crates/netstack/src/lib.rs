//! One user-space TCP connection per object, without sockets or tasks.
//!
//! Each [`Connection`] holds a smoltcp interface with a single socket, so the
//! cost of a packet does not depend on the number of connections. Packets are
//! bare IPv4; the caller delivers them with [`Connection::receive`] and sends
//! what [`Connection::poll`] emits. [`stream::drive`] joins a connection to a
//! byte stream of tokio.
//!
//! The end of a byte stream is either orderly (FIN, all bytes delivered) or
//! broken; a broken stream never looks like an orderly one, in either
//! direction.

mod connection;
mod link;
pub mod pipe;
mod settings;
pub mod stream;

pub use connection::{Connection, ReadState, State};
pub use link::MTU;
pub use settings::StackSettings;
pub use stream::FlowEnd;
