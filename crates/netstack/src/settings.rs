//! Sizes and time-outs of a connection.

use std::time::Duration;

/// Sizes and time-outs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StackSettings {
    /// Receive buffer in bytes.
    pub receive_buffer: usize,
    /// Send buffer in bytes.
    pub send_buffer: usize,
    /// Longest handshake.
    pub handshake: Duration,
    /// Interval of keep-alive probes on an idle connection.
    pub keep_alive: Duration,
    /// Time without any packet from the peer after which it counts as lost;
    /// longer than `keep_alive`, or idle connections end.
    pub idle: Duration,
    /// Time for which an ended connection still answers retransmitted FINs.
    pub linger: Duration,
}

impl Default for StackSettings {
    fn default() -> Self {
        Self {
            receive_buffer: 16 << 10,
            send_buffer: 16 << 10,
            handshake: Duration::from_secs(10),
            keep_alive: Duration::from_secs(20),
            idle: Duration::from_secs(70),
            // Two retransmissions of a FIN at the smallest time-out of 1 s.
            linger: Duration::from_secs(3),
        }
    }
}
