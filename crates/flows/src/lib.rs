//! Which agent handles a packet.
