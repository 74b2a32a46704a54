//! One user-space TCP connection per object, without sockets or tasks.
//!
//! Each [`Connection`] has a smoltcp interface with a single socket, so the
//! cost of a packet does not depend on the number of connections. Packets are
//! plain IPv4; the user of the crate delivers them with [`Connection::receive`]
//! and sends those that [`Connection::poll`] emits. [`stream::drive`] connects a
//! connection to a byte stream of tokio.
//!
//! A byte stream ends either in order (FIN, all bytes delivered) or with an
//! error; in both directions, an error is never reported as an orderly end.

mod connection;
mod device;
pub mod pipe;
mod settings;
pub mod stream;

pub use connection::{Connection, ReadState, State};
pub use device::MTU;
pub use settings::StackSettings;
pub use stream::FlowEnd;
