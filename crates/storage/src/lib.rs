//! Checksummed log and snapshot files.
