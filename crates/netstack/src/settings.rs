//! Settings of a connection.

use std::time::Duration;

/// Buffer sizes and timeouts of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StackSettings {
    /// Size of the receive buffer.
    pub receive_buffer_bytes: usize,
    /// Size of the send buffer.
    pub send_buffer_bytes: usize,
    /// Maximum duration of the handshake.
    pub handshake_timeout: Duration,
    /// Interval of keep-alive probes on an idle connection.
    pub keepalive_interval: Duration,
    /// Time without any packet from the peer after which the connection ends. Must be longer than
    /// `keepalive_interval`, or idle connections end.
    pub idle_timeout: Duration,
    /// Time for which a connection still acknowledges retransmitted FINs after both sides closed.
    pub linger_time: Duration,
}

impl Default for StackSettings {
    fn default() -> Self {
        Self {
            receive_buffer_bytes: 16 << 10,
            send_buffer_bytes: 16 << 10,
            handshake_timeout: Duration::from_secs(10),
            keepalive_interval: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(70),
            // Two retransmissions of a FIN at the minimum retransmission timeout of 1 s.
            linger_time: Duration::from_secs(3),
        }
    }
}
