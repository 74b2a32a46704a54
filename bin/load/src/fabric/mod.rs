//! Stand-in for the network between callers and balancers.
//!
//! Each packet of a caller goes to a balancer chosen at random, one IPv4
//! packet in one UDP datagram. Agents send their answers here, and the fabric
//! hands them to the caller by flow. Callers live in the same process, or send
//! their packets to the address for remote callers.

mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use faults::{Schedule, bind_udp};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use units::Flow;

use table::{Receiver, Table};

/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 2_048;

/// Packets that wait for one caller; further ones are dropped as a full link would.
const WAITING: usize = 512;

/// A balancer as the fabric sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exit {
    /// Address for packets.
    pub address: SocketAddr,
    /// Delay of the way there in ms, by data centre.
    #[serde(default)]
    pub delay_ms: u64,
}

impl From<SocketAddr> for Exit {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            delay_ms: 0,
        }
    }
}

/// Settings of a fabric.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FabricSettings {
    /// Address that agents send answers to.
    pub listen: SocketAddr,
    /// Address that callers of other processes send packets to.
    pub callers: Option<SocketAddr>,
    /// Balancers.
    pub balancers: Vec<Exit>,
    /// Delay of answers in ms.
    pub answer_ms: u64,
    /// Seed of the choice of balancers.
    pub seed: u64,
}

impl Default for FabricSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            callers: None,
            balancers: Vec::new(),
            answer_ms: 0,
            seed: 1,
        }
    }
}

/// What the fabric did so far, in packets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricStats {
    /// From callers to balancers.
    pub forth: u64,
    /// From agents to callers.
    pub back: u64,
    /// From agents for flows that no caller has.
    pub stray: u64,
    /// Dropped: no balancer, malformed, or too many waiting.
    pub dropped: u64,
}

#[derive(Debug, Default)]
struct Counters {
    forth: AtomicU64,
    back: AtomicU64,
    stray: AtomicU64,
    dropped: AtomicU64,
}

enum Parcel {
    Forth(SocketAddr, Bytes),
    Back(Bytes),
}

struct Shared {
    socket: UdpSocket,
    callers: Option<UdpSocket>,
    balancers: RwLock<Vec<Exit>>,
    random: Mutex<StdRng>,
    table: Table,
    counters: Counters,
    answer: Duration,
}

/// A running fabric; cheap to clone, stops with the last clone.
#[derive(Clone)]
pub struct Fabric {
    shared: Arc<Shared>,
    late: Schedule<Parcel>,
    _tasks: Arc<JoinSet<()>>,
}

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fabric")
            .field("stats", &self.stats())
            .finish_non_exhaustive()
    }
}

impl Fabric {
    /// Binds the addresses and starts to pass packets.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn start(settings: FabricSettings) -> io::Result<Self> {
        let socket = bind_udp(settings.listen)?;
        let callers = settings.callers.map(bind_udp).transpose()?;
        let shared = Arc::new(Shared {
            socket,
            callers,
            balancers: RwLock::new(settings.balancers),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            table: Table::default(),
            counters: Counters::default(),
            answer: Duration::from_millis(settings.answer_ms),
        });
        let late = {
            let shared = Arc::clone(&shared);
            Schedule::start(move |parcel| match parcel {
                Parcel::Forth(to, packet) => shared.emit(to, &packet),
                Parcel::Back(packet) => shared.hand(packet),
            })
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(answers(Arc::clone(&shared), late.clone()));
        if shared.callers.is_some() {
            tasks.spawn(remote(Arc::clone(&shared), late.clone()));
        }
        Ok(Self {
            shared,
            late,
            _tasks: Arc::new(tasks),
        })
    }

    /// Address that agents send answers to.
    ///
    /// # Errors
    /// When the operating system can't tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Replaces the balancers for all later packets.
    pub fn set_balancers(&self, balancers: Vec<Exit>) {
        let mut list = self
            .shared
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *list = balancers;
    }

    /// Balancers in use.
    #[must_use]
    pub fn balancers(&self) -> Vec<Exit> {
        let list = self.shared.balancers.read();
        list.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Registers a flow of a caller; its answers arrive at the receiver until [`Fabric::close`].
    #[must_use]
    pub fn open(&self, flow: Flow) -> mpsc::Receiver<Bytes> {
        let (sender, receiver) = mpsc::channel(WAITING);
        self.shared.table.put(flow, Receiver::Local(sender));
        receiver
    }

    /// Forgets a flow.
    pub fn close(&self, flow: Flow) {
        self.shared.table.remove(flow);
    }

    /// Sends a caller's packet to a random balancer.
    pub fn send(&self, packet: &[u8]) {
        self.shared.spray(&self.late, packet);
    }

    /// Counters.
    #[must_use]
    pub fn stats(&self) -> FabricStats {
        let counters = &self.shared.counters;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        FabricStats {
            forth: read(&counters.forth),
            back: read(&counters.back),
            stray: read(&counters.stray),
            dropped: read(&counters.dropped),
        }
    }
}

fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Shared {
    fn pick(&self) -> Option<Exit> {
        let list = self
            .balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if list.is_empty() {
            return None;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        Some(list[random.random_range(0..list.len())])
    }

    fn spray(&self, late: &Schedule<Parcel>, packet: &[u8]) {
        match self.pick() {
            None => bump(&self.counters.dropped),
            Some(exit) if exit.delay_ms == 0 => self.emit(exit.address, packet),
            Some(exit) => {
                let delay = Duration::from_millis(exit.delay_ms);
                let parcel = Parcel::Forth(exit.address, Bytes::copy_from_slice(packet));
                if !late.after(delay, parcel) {
                    bump(&self.counters.dropped);
                }
            }
        }
    }

    fn emit(&self, to: SocketAddr, packet: &[u8]) {
        // The readiness of a new socket is not known yet to the runtime; it is not asked.
        let sent = SockRef::from(&self.socket).send_to(packet, &to.into());
        bump(if sent.is_ok() {
            &self.counters.forth
        } else {
            &self.counters.dropped
        });
    }

    /// Hands an agent's packet to the caller of its flow.
    fn hand(&self, packet: Bytes) {
        let Some(flow) = answer_flow(&packet) else {
            return bump(&self.counters.dropped);
        };
        match self.table.get(flow) {
            None => bump(&self.counters.stray),
            Some(Receiver::Local(sender)) => bump(match sender.try_send(packet) {
                Ok(()) => &self.counters.back,
                Err(_) => &self.counters.dropped,
            }),
            Some(Receiver::Remote(address)) => {
                let sent = self
                    .callers
                    .as_ref()
                    .map(|socket| SockRef::from(socket).send_to(&packet, &address.into()));
                bump(match sent {
                    Some(Ok(_)) => &self.counters.back,
                    _ => &self.counters.dropped,
                });
            }
        }
    }
}

/// Flow of a packet that goes to a caller.
fn answer_flow(packet: &[u8]) -> Option<Flow> {
    let reverse = wire::inspect(packet).ok()?.flow;
    Some(Flow {
        caller: reverse.service,
        service: reverse.caller,
    })
}

async fn answers(shared: Arc<Shared>, late: Schedule<Parcel>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, _)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        let packet = Bytes::copy_from_slice(&buf[..size]);
        if shared.answer.is_zero() {
            shared.hand(packet);
        } else if !late.after(shared.answer, Parcel::Back(packet)) {
            bump(&shared.counters.dropped);
        }
    }
}

async fn remote(shared: Arc<Shared>, late: Schedule<Parcel>) {
    let Some(socket) = &shared.callers else {
        return;
    };
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        match wire::inspect(&buf[..size]) {
            Ok(segment) => {
                shared.table.put(segment.flow, Receiver::Remote(from));
                shared.spray(&late, &buf[..size]);
            }
            Err(_) => bump(&shared.counters.dropped),
        }
    }
}
