//! Runs one replication state with its files and peers.
