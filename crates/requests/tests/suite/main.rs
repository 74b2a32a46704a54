//! Requests over real loopback connections, against a backend server that
//! records what it began.

mod agents;
mod backend;
mod caller;
mod edges;
mod keys;
mod limits;
mod outcomes;
mod relays;
