//! Fault-injecting TCP and UDP proxy.
