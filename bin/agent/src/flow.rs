//! One flow: its connection joined to the backend server or the request handler.

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

use crate::shared::Shared;
use crate::stats::{Stats, count};

/// Longest wait for a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes buffered between the connection and the request handler, each way.
const PIPE_CAPACITY: usize = 16 << 10;

/// End of a flow's task; a later flow with the same addresses has another id.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    /// Flow.
    pub flow: Flow,
    /// Id of the task.
    pub id: u64,
}

/// Sends answers to the fabric.
#[derive(Debug, Clone)]
pub struct Fabric {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
}

impl Fabric {
    /// Answers leave from the packet socket.
    pub fn new(socket: Arc<UdpSocket>, address: SocketAddr) -> Self {
        Self { socket, address }
    }

    /// Sends a packet; TCP sends a refused one again.
    pub fn send(&self, stats: &Stats, packet: &[u8]) {
        let sent = self.socket.try_send_to(packet, self.address).is_ok();
        count(if sent { &stats.sent } else { &stats.failed });
    }
}

/// Runs a flow from its SYN-ACK to its end.
pub async fn run(
    shared: Arc<Shared>,
    fabric: Fabric,
    connection: Connection,
    packets: mpsc::Receiver<Bytes>,
    ended: mpsc::UnboundedSender<Ended>,
    id: u64,
) {
    let flow = connection.flow();
    let end = serve(&shared, &fabric, connection, packets).await;
    match end {
        End::HalfOpen => shared.stats.ended(&"half_open"),
        End::Broken(kind) => {
            shared.stats.ended(&kind);
            shared.count_flow(false);
        }
        End::Kept(kind) => {
            shared.stats.ended(&kind);
            shared.count_flow(true);
        }
    }
    // The packet loop only stops with the process.
    let _ = ended.send(Ended { flow, id });
}

enum End {
    /// No connection came about.
    HalfOpen,
    /// Caller and backend server got what they wished.
    Kept(FlowEnd),
    /// One of them was cut off.
    Broken(FlowEnd),
}

async fn serve(
    shared: &Shared,
    fabric: &Fabric,
    mut connection: Connection,
    mut packets: mpsc::Receiver<Bytes>,
) -> End {
    let send = |packet: &[u8]| fabric.send(&shared.stats, packet);
    let failed = stream::establish(&mut connection, &mut packets, send).await;
    if failed.is_some() {
        return End::HalfOpen;
    }
    if shared.is_http() {
        let caller = connection.flow().caller;
        let (outer, inner) = pipe::pair(PIPE_CAPACITY);
        let driven = stream::drive(connection, packets, send, outer);
        let (end, served) = tokio::join!(driven, shared.handler.serve(inner, caller));
        return match (end, served) {
            (FlowEnd::Closed | FlowEnd::Reset, ServeEnd::Closed | ServeEnd::CallerLeft) => {
                End::Kept(end)
            }
            _ => End::Broken(end),
        };
    }
    let backend = shared.settings.backend;
    let Ok(Ok(app)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(backend)).await else {
        shared.observe(HealthSource::Request, false);
        connection.abort();
        connection.poll_with(tokio::time::Instant::now(), send);
        return End::Broken(FlowEnd::Aborted);
    };
    shared.observe(HealthSource::Request, true);
    // Without effect on a loopback connection that is already broken.
    let _ = app.set_nodelay(true);
    let end = stream::drive(connection, packets, send, app).await;
    match end {
        FlowEnd::Closed | FlowEnd::Reset => End::Kept(end),
        FlowEnd::Refused | FlowEnd::TimedOut | FlowEnd::Aborted => End::Broken(end),
    }
}
