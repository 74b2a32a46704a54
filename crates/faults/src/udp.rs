//! UDP proxy.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::stats::{Counters, bump};
use crate::{Fate, Plan, PlanError, Roll, Schedule, Stats, Way};

/// Clients that a proxy serves; datagrams of further ones are dropped.
pub const MAX_CLIENTS: usize = 1_024;

/// Largest datagram in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Receive buffer wanted from the operating system; bursts beyond the default size got lost.
const RECEIVE_BUFFER: usize = 4 << 20;

/// UDP socket with a large receive buffer.
///
/// # Errors
/// When the address can't be bound.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    UdpSocket::from_std(socket.into())
}

/// Proxy between UDP clients and a target; stops when dropped.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    plan: watch::Sender<Plan>,
    counters: Arc<Counters>,
    _tasks: JoinSet<()>,
}

struct Out {
    socket: Arc<UdpSocket>,
    /// `None` for a connected socket.
    to: Option<SocketAddr>,
    body: Box<[u8]>,
}

struct Shared {
    plan: watch::Receiver<Plan>,
    counters: Arc<Counters>,
    schedule: Schedule<Out>,
}

impl UdpProxy {
    /// Binds `listen` and passes datagrams to `target`.
    ///
    /// # Errors
    /// When the address can't be bound or the plan is out of range.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        plan: Plan,
        seed: u64,
    ) -> io::Result<Self> {
        plan.check().map_err(io::Error::other)?;
        let socket = Arc::new(bind_udp(listen)?);
        let address = socket.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (plan, receiver) = watch::channel(plan);
        let delivered = Arc::clone(&counters);
        let schedule = Schedule::start(move |out: Out| {
            // Counted first, so that a client that has the datagram finds it counted.
            bump(&delivered.delivered);
            // The readiness of a new socket is not known yet to the runtime; it is not asked.
            let socket = SockRef::from(&*out.socket);
            let sent = match out.to {
                Some(to) => socket.send_to(&out.body, &to.into()),
                None => socket.send(&out.body),
            };
            if sent.is_err() {
                bump(&delivered.overflow);
            }
        });
        let shared = Arc::new(Shared {
            plan: receiver,
            counters: Arc::clone(&counters),
            schedule,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(socket, target, shared, seed));
        Ok(Self {
            address,
            plan,
            counters,
            _tasks: tasks,
        })
    }

    /// Address that clients send to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the plan for all later datagrams.
    ///
    /// # Errors
    /// When a value is out of range; the plan in force stays.
    pub fn set(&self, plan: Plan) -> Result<(), PlanError> {
        plan.check()?;
        self.plan.send_replace(plan);
        Ok(())
    }

    /// Counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.counters.read()
    }
}

type Clients = Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>;

async fn serve(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<Shared>, seed: u64) {
    let clients = Clients::default();
    let mut answers = JoinSet::new();
    let mut roll = Roll::new(seed);
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // Errors of unreachable peers surface here; they concern single datagrams.
        let Ok((size, client)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let known = clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&client)
            .cloned();
        let upstream = match known {
            Some(upstream) => upstream,
            None => {
                let count = shared.counters.clients.load(Ordering::Relaxed);
                let Some(upstream) = connect(listen_ip(target), target, count).await else {
                    bump(&shared.counters.overflow);
                    continue;
                };
                bump(&shared.counters.clients);
                clients
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .insert(client, Arc::clone(&upstream));
                answers.spawn(answer(
                    Arc::clone(&upstream),
                    Arc::clone(&socket),
                    client,
                    Arc::clone(&shared),
                    seed ^ (count + 1),
                ));
                upstream
            }
        };
        pass(&shared, &mut roll, Way::Forth, &buf[..size], upstream, None).await;
    }
}

fn listen_ip(target: SocketAddr) -> SocketAddr {
    let any: std::net::IpAddr = if target.is_ipv4() {
        std::net::Ipv4Addr::LOCALHOST.into()
    } else {
        std::net::Ipv6Addr::LOCALHOST.into()
    };
    SocketAddr::new(any, 0)
}

async fn connect(from: SocketAddr, target: SocketAddr, count: u64) -> Option<Arc<UdpSocket>> {
    if count >= MAX_CLIENTS as u64 {
        return None;
    }
    let socket = bind_udp(from).ok()?;
    socket.connect(target).await.ok()?;
    Some(Arc::new(socket))
}

async fn answer(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    shared: Arc<Shared>,
    seed: u64,
) {
    let mut roll = Roll::new(seed);
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        // A refused datagram (no process at the target) is reported once and then forgotten.
        let Ok(size) = upstream.recv(&mut buf).await else {
            continue;
        };
        let out = Arc::clone(&socket);
        pass(
            &shared,
            &mut roll,
            Way::Back,
            &buf[..size],
            out,
            Some(client),
        )
        .await;
    }
}

async fn pass(
    shared: &Shared,
    roll: &mut Roll,
    way: Way,
    body: &[u8],
    socket: Arc<UdpSocket>,
    to: Option<SocketAddr>,
) {
    let counters = &shared.counters;
    bump(&counters.received);
    let plan = thawed(&shared.plan, counters).await;
    match roll.datagram(&plan, way) {
        Fate::Cut => bump(&counters.cut),
        Fate::Lost => bump(&counters.lost),
        Fate::Deliver {
            delay,
            copy,
            reordered,
        } => {
            if reordered {
                bump(&counters.reordered);
            }
            if copy.is_some() {
                bump(&counters.duplicated);
            }
            for delay in std::iter::once(delay).chain(copy) {
                let out = Out {
                    socket: Arc::clone(&socket),
                    to,
                    body: body.into(),
                };
                if !shared.schedule.after(delay, out) {
                    bump(&counters.overflow);
                }
            }
        }
    }
}

/// Waits until no freeze is in force; returns the plan.
pub(crate) async fn thawed(plan: &watch::Receiver<Plan>, counters: &Counters) -> Plan {
    let now = *plan.borrow();
    if !now.freeze {
        return now;
    }
    bump(&counters.frozen);
    let mut plan = plan.clone();
    let next = plan.wait_for(|plan| !plan.freeze).await.map(|plan| *plan);
    match next {
        Ok(plan) => plan,
        Err(_) => std::future::pending().await,
    }
}
