//! Tests of request handling over loopback connections, with a backend server that
//! records the requests it receives.

mod agents;
mod backend;
mod caller;
mod edges;
mod keys;
mod limits;
mod outcomes;
mod relays;
