//! Stand-in for a backend server: TCP echo or HTTP/1.1 with slots and a record.

mod behaviour;
mod body;
mod fetch;
mod http;
mod record;
mod tcp;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

pub use behaviour::{Behaviour, Claim, Straggle};
pub use body::content;
pub use fetch::fetch;
pub use record::{End, Entry, Record, Summary, unix_ms};

/// Connections open at a time; further ones wait.
const MAX_CONNECTIONS: usize = 8_192;

/// What the backend server speaks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Returns every byte.
    Echo,
    /// Answers HTTP/1.1 requests.
    #[default]
    Http,
}

/// Settings of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSettings {
    /// Name in answers.
    pub host: Box<str>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Protocol.
    pub mode: Mode,
    /// Requests in progress at a time; further ones wait.
    pub slots: usize,
    /// Seed of stragglers and shedding.
    pub seed: u64,
    /// Behaviour from the start.
    pub behaviour: Behaviour,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            host: "backend".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            mode: Mode::Http,
            slots: 2,
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }
}

/// State shared by the connections.
struct Shared {
    host: Box<str>,
    slots: usize,
    free: Semaphore,
    start: Instant,
    behaviour: watch::Sender<Behaviour>,
    record: Record,
    random: Mutex<StdRng>,
}

/// A running backend server; stops when dropped.
pub struct Backend {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// `None` while stopped.
    tasks: Option<JoinSet<()>>,
    mode: Mode,
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Backend")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Backend {
    /// Listens and serves.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(settings: BackendSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let (behaviour, _) = watch::channel(settings.behaviour);
        let shared = Arc::new(Shared {
            host: settings.host,
            slots: settings.slots,
            free: Semaphore::new(settings.slots),
            start: Instant::now(),
            behaviour,
            record: Record::default(),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, Arc::clone(&shared), settings.mode));
        Ok(Self {
            address,
            shared,
            tasks: Some(tasks),
            mode: settings.mode,
        })
    }

    /// Address that the agent connects to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests begun and finished.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.shared.record
    }

    /// Changes the behaviour for all later requests.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        self.shared.behaviour.send_modify(change);
    }

    /// Stops listening and closes all connections, as a crash would; the record stays.
    pub fn crash(&mut self) {
        self.tasks = None;
    }

    /// Listens again after a crash.
    ///
    /// # Errors
    /// When the address was taken in between.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.crash();
        let deadline = Instant::now() + Duration::from_secs(2);
        // The listener of the aborted task may still be open for a moment.
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => break listener,
                Err(e) if Instant::now() > deadline => return Err(e),
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, Arc::clone(&self.shared), self.mode));
        self.tasks = Some(tasks);
        Ok(())
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, mode: Mode) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        if connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
            continue;
        }
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        connections.spawn(connection(stream, Arc::clone(&shared), mode));
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>, mode: Mode) {
    match mode {
        Mode::Echo => tcp::echo(stream, &shared).await,
        Mode::Http => http::serve(stream, shared).await,
    }
}

impl Shared {
    fn chance(&self, share: f64) -> bool {
        use rand::RngExt;
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random::<f64>() < share
    }
}
