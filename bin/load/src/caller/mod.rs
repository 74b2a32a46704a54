//! Callers: many TCP connections over the user-space stack, through the fabric.

mod echo;
mod http;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use netstack::{Connection, FlowEnd, StackSettings, pipe, stream};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use units::Flow;

use crate::fabric::Fabric;

pub use echo::{EchoFlow, EchoReport};
pub use http::{Ask, HttpFlow, Outcome};

/// Bytes buffered between the stack and the application, per direction.
const PIPE: usize = 16 << 10;

/// First port of a caller address.
const FIRST_PORT: u32 = 1_024;

/// Ports of a caller address.
const PORTS: u32 = 60_000;

/// Source of connections; cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    fabric: Fabric,
    stack: Arc<StackSettings>,
    /// Network of the callers' addresses: 10.`net`.0.0/16.
    net: u8,
    seed: u64,
    next: Arc<AtomicU32>,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct Stream {
    /// Bytes to and from the service.
    pub pipe: pipe::Pipe,
    /// Flow.
    pub flow: Flow,
    /// How the connection ended.
    pub end: JoinHandle<FlowEnd>,
}

impl Caller {
    /// Callers with addresses in 10.`net`.0.0/16; use a network of its own for each object.
    #[must_use]
    pub fn new(fabric: Fabric, net: u8, seed: u64) -> Self {
        Self {
            fabric,
            stack: Arc::default(),
            net,
            seed,
            next: Arc::default(),
        }
    }

    /// Same callers with other sizes and time-outs.
    #[must_use]
    pub fn with_stack(mut self, stack: StackSettings) -> Self {
        self.stack = Arc::new(stack);
        self
    }

    /// The next unused address and port; addresses repeat after 3.9 billion connections.
    fn address(&self) -> (SocketAddrV4, u32) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let host = number / PORTS;
        let [_, _, high, low] = host.to_be_bytes();
        let port = FIRST_PORT + number % PORTS;
        let ip = Ipv4Addr::new(10, self.net, high, low);
        let port = u16::try_from(port).unwrap_or(u16::MAX);
        (SocketAddrV4::new(ip, port), number)
    }

    /// Opens a connection; the handshake goes on in a task.
    #[must_use]
    pub fn connect(&self, service: SocketAddrV4) -> Stream {
        let (caller, number) = self.address();
        let flow = Flow { caller, service };
        let packets = self.fabric.open(flow);
        let seed = self.seed.wrapping_add(u64::from(number) << 16);
        let connection = Connection::connect(&self.stack, flow, Instant::now(), seed);
        let (near, far) = pipe::pair(PIPE);
        let fabric = self.fabric.clone();
        let end = tokio::spawn(async move {
            let send = |packet: &[u8]| fabric.send(packet);
            let end = stream::drive(connection, packets, send, far).await;
            fabric.close(flow);
            end
        });
        Stream {
            pipe: near,
            flow,
            end,
        }
    }
}
