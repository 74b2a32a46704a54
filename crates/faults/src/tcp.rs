//! TCP proxy.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::stats::{Counters, bump};
use crate::udp::thawed;
use crate::{Link, Links, Plan, PlanError, Roll, Stats, Way};

/// Size of a piece in bytes.
const PIECE: usize = 16 << 10;

/// Pieces in flight in one direction of a connection.
const PIECES: usize = 256;

/// Pieces in flight over a link of limited speed: a window of 64 KB.
const LINK_PIECES: usize = 4;

/// Proxy between TCP clients and a target; stops when dropped.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    plan: watch::Sender<Plan>,
    sever: watch::Sender<u64>,
    counters: Arc<Counters>,
    _tasks: JoinSet<()>,
}

#[derive(Clone)]
struct Shared {
    plan: watch::Receiver<Plan>,
    sever: watch::Receiver<u64>,
    counters: Arc<Counters>,
    links: Links,
}

impl TcpProxy {
    /// Binds `listen` and passes connections to `target`.
    ///
    /// # Errors
    /// When the address can't be bound or the plan is out of range.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        plan: Plan,
        seed: u64,
    ) -> io::Result<Self> {
        Self::start_on(Links::default(), listen, target, plan, seed).await
    }

    /// The same over links of limited speed.
    ///
    /// # Errors
    /// See [`TcpProxy::start`].
    pub async fn start_on(
        links: Links,
        listen: SocketAddr,
        target: SocketAddr,
        plan: Plan,
        seed: u64,
    ) -> io::Result<Self> {
        plan.check().map_err(io::Error::other)?;
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (plan, plans) = watch::channel(plan);
        let (sever, severed) = watch::channel(0);
        let shared = Shared {
            plan: plans,
            sever: severed,
            counters: Arc::clone(&counters),
            links,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, target, shared, seed));
        Ok(Self {
            address,
            plan,
            sever,
            counters,
            _tasks: tasks,
        })
    }

    /// Address that clients connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the plan for all later bytes.
    ///
    /// # Errors
    /// When a value is out of range; the plan in force stays.
    pub fn set(&self, plan: Plan) -> Result<(), PlanError> {
        plan.check()?;
        self.plan.send_replace(plan);
        Ok(())
    }

    /// Closes every connection in the middle of whatever it carries.
    pub fn sever(&self) {
        self.sever.send_modify(|count| *count += 1);
    }

    /// Counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.counters.read()
    }
}

impl Shared {
    fn link(&self, way: Way) -> Option<&Link> {
        match way {
            Way::Forth => self.links.forth.as_ref(),
            Way::Back => self.links.back.as_ref(),
        }
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, shared: Shared, seed: u64) {
    let mut connections = JoinSet::new();
    let mut number = 0_u64;
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        number += 1;
        bump(&shared.counters.clients);
        // Two streams of decisions for each connection.
        connections.spawn(connection(
            client,
            target,
            shared.clone(),
            seed ^ (number << 1),
        ));
    }
}

async fn connection(client: TcpStream, target: SocketAddr, shared: Shared, seed: u64) {
    let mut sever = shared.sever.clone();
    sever.mark_unchanged();
    let both = async {
        thawed(&shared.plan, &shared.counters).await;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        let forth = pump(client_in, server_out, &shared, Way::Forth, seed);
        let back = pump(server_in, client_out, &shared, Way::Back, seed | 1);
        let _ = tokio::try_join!(forth, back);
    };
    tokio::select! {
        () = both => {}
        _ = sever.changed() => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    way: Way,
    seed: u64,
) -> io::Result<()> {
    let link = shared.link(way);
    let pieces = if link.is_some() { LINK_PIECES } else { PIECES };
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(pieces);
    let read = async move {
        let mut roll = Roll::new(seed);
        loop {
            let mut piece = vec![0; PIECE];
            let size = from.read(&mut piece).await?;
            if size == 0 {
                return Ok::<(), io::Error>(());
            }
            piece.truncate(size);
            bump(&shared.counters.received);
            let plan = passable(shared, way).await;
            let (delay, lost) = roll.piece(&plan);
            if lost {
                bump(&shared.counters.lost);
            }
            if sender.send((Instant::now() + delay, piece)).await.is_err() {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some((at, piece)) = receiver.recv().await {
            tokio::time::sleep_until(at).await;
            passable(shared, way).await;
            if let Some(link) = link {
                link.carry(piece.len()).await;
            }
            to.write_all(&piece).await?;
            bump(&shared.counters.delivered);
        }
        passable(shared, way).await;
        to.shutdown().await
    };
    tokio::try_join!(read, write).map(|_| ())
}

/// Waits until the direction is neither frozen nor cut.
async fn passable(shared: &Shared, way: Way) -> Plan {
    let plan = thawed(&shared.plan, &shared.counters).await;
    if !plan.is_cut(way) {
        return plan;
    }
    bump(&shared.counters.cut);
    let mut plans = shared.plan.clone();
    let open = |plan: &Plan| !plan.freeze && !plan.is_cut(way);
    let next = plans.wait_for(open).await.map(|plan| *plan);
    match next {
        Ok(plan) => plan,
        Err(_) => std::future::pending().await,
    }
}
