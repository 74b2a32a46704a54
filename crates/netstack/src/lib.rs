//! One user-space TCP connection per object.
