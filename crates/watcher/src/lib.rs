//! Keeps a node's tables and profiles current.
