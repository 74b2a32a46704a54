//! Task of a flow: connects the TCP connection of the caller to the backend server or the request
//! handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admission::HealthSource;
use bytes::Bytes;
use netstack::{Connection, FlowEnd, pipe, stream};
use requests::ServeEnd;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;
use units::Flow;

use crate::shared::SharedState;
use crate::stats::{Stats, increment};

/// Timeout of a connection attempt to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffer between the connection and the request handler, per direction.
const PIPE_BYTES: usize = 16 << 10;

/// Flow whose task has ended; a later flow with the same addresses has another task id.
#[derive(Debug, Clone, Copy)]
pub struct EndedFlow {
    /// Flow.
    pub flow: Flow,
    /// Id of the task.
    pub task_id: u64,
}

/// Sends packets to the fabric.
#[derive(Debug, Clone)]
pub struct FabricSender {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
}

impl FabricSender {
    /// Creates a sender that uses the packet socket.
    pub fn new(socket: Arc<UdpSocket>, address: SocketAddr) -> Self {
        Self { socket, address }
    }

    /// Sends a packet; TCP retransmits one that could not be sent.
    pub fn send(&self, stats: &Stats, packet: &[u8]) {
        let sent = self.socket.try_send_to(packet, self.address).is_ok();
        increment(if sent { &stats.sent } else { &stats.failed });
    }
}

/// Runs a flow from its SYN-ACK to its end and reports the end to the packet loop.
pub async fn run(
    shared: Arc<SharedState>,
    fabric: FabricSender,
    connection: Connection,
    packets: mpsc::Receiver<Bytes>,
    ended: mpsc::UnboundedSender<EndedFlow>,
    task_id: u64,
) {
    let flow = connection.flow();
    let outcome = serve_flow(&shared, &fabric, connection, packets).await;
    match outcome {
        FlowOutcome::HalfOpen => shared.stats.count_ended(&"half_open"),
        FlowOutcome::Broken(kind) => {
            shared.stats.count_ended(&kind);
            shared.count_flow(false);
        }
        FlowOutcome::Kept(kind) => {
            shared.stats.count_ended(&kind);
            shared.count_flow(true);
        }
    }
    // The receiver is the packet loop, which only stops with the process.
    let _ = ended.send(EndedFlow { flow, task_id });
}

enum FlowOutcome {
    /// The handshake did not complete.
    HalfOpen,
    /// The flow ended as the caller and the backend server intended.
    Kept(FlowEnd),
    /// The flow failed before that.
    Broken(FlowEnd),
}

async fn serve_flow(
    shared: &SharedState,
    fabric: &FabricSender,
    mut connection: Connection,
    mut packets: mpsc::Receiver<Bytes>,
) -> FlowOutcome {
    let send = |packet: &[u8]| fabric.send(&shared.stats, packet);
    let failure = stream::establish(&mut connection, &mut packets, send).await;
    if failure.is_some() {
        return FlowOutcome::HalfOpen;
    }
    if shared.is_http() {
        let caller = connection.flow().caller;
        let (connection_side, handler_side) = pipe::pair(PIPE_BYTES);
        let transfer = stream::drive(connection, packets, send, connection_side);
        let (end, served) = tokio::join!(transfer, shared.handler.serve(handler_side, caller));
        return match (end, served) {
            (FlowEnd::Closed | FlowEnd::Reset, ServeEnd::Closed | ServeEnd::CallerLeft) => {
                FlowOutcome::Kept(end)
            }
            _ => FlowOutcome::Broken(end),
        };
    }
    let backend = shared.settings.backend;
    let Ok(Ok(backend_stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await else {
        shared.record_health(HealthSource::Request, false);
        connection.abort();
        connection.poll_with(tokio::time::Instant::now(), send);
        return FlowOutcome::Broken(FlowEnd::Aborted);
    };
    shared.record_health(HealthSource::Request, true);
    // Fails only on a loopback connection that is already broken.
    let _ = backend_stream.set_nodelay(true);
    let end = stream::drive(connection, packets, send, backend_stream).await;
    match end {
        FlowEnd::Closed | FlowEnd::Reset => FlowOutcome::Kept(end),
        FlowEnd::Refused | FlowEnd::TimedOut | FlowEnd::Aborted => FlowOutcome::Broken(end),
    }
}
