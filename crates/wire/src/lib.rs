//! Forwarding header, flow notices and inner packet validation.
