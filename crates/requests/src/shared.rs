//! State that all connections of a handler share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use admission::{
    Action, Admission, Completion, Event, Health, HealthSource, Limits, RefusalReason, RetryBudget,
    Siblings,
};
use api::SiblingLoad;
use idempotency::{ClaimReplica, ReplicaLimits};
use profile::Class;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rpc::{Client, Key};
use slog::Logger;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::HandlerSettings;
use crate::backend::Backend;
use crate::config::{ClassIndex, Config};
use crate::counts::{Counted, Meter, unix_now};
use crate::relay::sibling;

/// Longest sleep of the timer, after which it sees that its handler is gone.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Time between two polls of the siblings' loads.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Siblings asked in one interval while this agent has free slots. A poll takes 572 bytes with its
/// answer; asking all 12 siblings of an average service took 14 KB/s both ways, of 3 KB/s for control.
const IDLE_POLLS: usize = 1;

/// Siblings asked in one interval while requests may have to go elsewhere.
const BUSY_POLLS: usize = 8;

/// Longest wait for a sibling's load.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// A request that was not admitted; it did not begin.
pub(crate) type NotAdmitted = (RefusalReason, Duration);

pub(crate) struct State {
    pub(crate) admission: Admission,
    pub(crate) classes: ClassIndex,
    pub(crate) replica: ClaimReplica,
    pub(crate) siblings: Siblings,
    pub(crate) loads: BTreeMap<SocketAddrV4, SiblingLoad>,
    pub(crate) budget: RetryBudget,
    pub(crate) health: Health,
    pub(crate) meter: Meter,
    pub(crate) rng: SmallRng,
    waiters: HashMap<u64, oneshot::Sender<Result<Slot, NotAdmitted>>>,
}

pub(crate) struct Shared {
    pub(crate) settings: HandlerSettings,
    pub(crate) client: Client,
    pub(crate) log: Logger,
    key: Key,
    pub(crate) backend: Backend,
    config: Mutex<Option<Arc<Config>>>,
    state: Mutex<State>,
    wake: Notify,
    draining: watch::Sender<bool>,
    ids: AtomicU64,
    streams: AtomicUsize,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(crate) fn start(
        settings: HandlerSettings,
        client: Client,
        key: Key,
        log: Logger,
    ) -> Arc<Self> {
        let replica = ClaimReplica::new(
            settings.host.clone(),
            settings.incarnation,
            ReplicaLimits::default(),
        );
        let state = State {
            admission: Admission::new(Instant::now().into_std(), Limits::default(), Vec::new()),
            classes: ClassIndex::default(),
            replica,
            siblings: Siblings::default(),
            loads: BTreeMap::new(),
            budget: RetryBudget::new(0.0),
            health: Health::new(2, 3),
            meter: Meter::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
            waiters: HashMap::new(),
        };
        let shared = Arc::new(Self {
            backend: Backend::new(settings.backend),
            settings,
            client,
            key,
            log,
            config: Mutex::default(),
            state: Mutex::new(state),
            wake: Notify::new(),
            draining: watch::Sender::new(false),
            ids: AtomicU64::new(1),
            streams: AtomicUsize::new(0),
        });
        tokio::spawn(run_timer(Arc::downgrade(&shared)));
        tokio::spawn(run_polls(Arc::downgrade(&shared)));
        shared
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.as_ref().map(Arc::clone)
    }

    pub(crate) fn configure(self: &Arc<Self>, config: Option<Config>) {
        if let Some(config) = &config {
            let mut state = self.lock();
            let classes = state.classes.update(&config.profile.classes);
            let limits = config.limits(&self.settings);
            state.admission.configure(limits, classes);
            let siblings: Vec<_> = config.siblings.iter().map(|s| s.http).collect();
            state.siblings.set_members(&siblings);
            state.loads.retain(|address, _| siblings.contains(address));
            state
                .budget
                .set_share(config.profile.retry.budget.fraction());
            let health = &config.profile.health;
            state.health.set_thresholds(health.rise, health.fall);
            let window = config.profile.keys.window_ms;
            state
                .replica
                .configure(window, &config.keys, config.horizon);
        }
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = config.map(Arc::new);
        self.step(Event::Tick);
        self.wake.notify_one();
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    /// Whether requests may have to go to a sibling.
    fn is_busy(&self) -> bool {
        let now = Instant::now().into_std();
        let admission = &self.lock().admission;
        let full = admission.busy() >= usize::from(admission.slots(now));
        self.is_draining() || full || admission.waiting() > 0
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Id of an exchange, unique within this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Id of an attempt, unique over all agents and time: an incarnation is
    /// never used twice on a host.
    pub(crate) fn attempt_id(&self) -> u128 {
        let incarnation = self.settings.incarnation.0.to_be_bytes();
        let host = self.settings.host.as_str().as_bytes();
        let number = self.next_id().to_be_bytes();
        u128::from_be_bytes(self.key.tag(&[&incarnation, &number, host]))
    }

    pub(crate) fn count(&self, class: &Class, counted: Counted) {
        self.lock().meter.add(unix_now(), &class.name, counted);
    }

    /// Takes the result of a request or a probe of the backend server.
    pub(crate) fn observe(&self, source: HealthSource, good: bool) {
        let now = Instant::now().into_std();
        let mut state = self.lock();
        if !state.health.record(now, source, good) {
            return;
        }
        if good {
            state.admission.restart_slow_start(now);
        }
        drop(state);
        slog::info!(self.log, "the backend server's health changed"; "healthy" => good);
    }

    /// Place among the streams, if one is free.
    pub(crate) fn open_stream(self: &Arc<Self>, most: u32) -> Option<StreamPlace> {
        let most = most as usize;
        let opened = self
            .streams
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < most).then_some(open + 1)
            });
        opened.ok().map(|_| StreamPlace(Arc::clone(self)))
    }

    pub(crate) fn streams(&self) -> usize {
        self.streams.load(Ordering::Acquire)
    }

    /// Waits for a slot; `None` if the agent drains meanwhile, since a backend
    /// server that leaves must get no new work from the queue either.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: usize,
        deadline: Instant,
    ) -> Option<Result<Slot, NotAdmitted>> {
        let mut draining = self.draining.subscribe();
        tokio::select! {
            biased;
            _ = draining.wait_for(|draining| *draining) => None,
            admitted = self.wait_slot(class, deadline) => Some(admitted),
        }
    }

    async fn wait_slot(
        self: &Arc<Self>,
        class: usize,
        deadline: Instant,
    ) -> Result<Slot, NotAdmitted> {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.lock().waiters.insert(id, sender);
        let mut waiting = Waiting {
            shared: self,
            id,
            over: false,
        };
        self.step(Event::Arrive {
            id,
            class,
            deadline: deadline.into_std(),
        });
        let answer = receiver.await;
        waiting.over = true;
        answer.unwrap_or(Err((RefusalReason::Full, Duration::from_secs(1))))
    }

    pub(crate) fn step(self: &Arc<Self>, event: Event) {
        let now = Instant::now().into_std();
        let mut actions = Vec::new();
        let mut answers = Vec::new();
        {
            let mut state = self.lock();
            if let Event::Cancel { id } = event {
                state.waiters.remove(&id);
            }
            state.admission.handle(now, event, &mut actions);
            for action in actions {
                let (Action::Start { id } | Action::Refuse { id, .. }) = action;
                answers.push((state.waiters.remove(&id), action));
            }
        }
        // Sent after the lock is released: an answer that nobody takes drops
        // its slot, which comes back here.
        for (sender, action) in answers {
            let answer = match action {
                Action::Start { id } => Ok(Slot {
                    shared: Arc::clone(self),
                    id,
                    ended: Completion::Cancelled,
                }),
                Action::Refuse {
                    reason,
                    retry_after,
                    ..
                } => Err((reason, retry_after)),
            };
            if let Some(sender) = sender {
                drop(sender.send(answer));
            }
        }
        if event != Event::Tick {
            self.wake.notify_one();
        }
    }
}

/// A waiting request whose caller may leave.
struct Waiting<'a> {
    shared: &'a Arc<Shared>,
    id: u64,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.shared.step(Event::Cancel { id: self.id });
        }
    }
}

/// Slot of a begun request; free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    id: u64,
    pub(crate) ended: Completion,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (id, ended) = (self.id, self.ended);
        self.shared.step(Event::End {
            id,
            completion: ended,
        });
    }
}

/// Place of an open stream.
#[derive(Debug)]
pub(crate) struct StreamPlace(Arc<Shared>);

impl Drop for StreamPlace {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Drops expired requests and begins waiting ones when slots come into force.
async fn run_timer(shared: Weak<Shared>) {
    loop {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        let next = shared.lock().admission.next_wakeup(now.into_std());
        let latest = now + MAX_SLEEP;
        let until = next.map_or(latest, |next| Instant::from_std(next).min(latest));
        tokio::select! {
            () = tokio::time::sleep_until(until) => shared.step(Event::Tick),
            () = shared.wake.notified() => {}
        }
    }
}

/// Asks siblings in turn for their loads.
async fn run_polls(shared: Weak<Shared>) {
    let mut turn = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let addresses: Vec<SocketAddrV4> = shared.lock().siblings.addresses().collect();
        let count = if shared.is_busy() {
            BUSY_POLLS
        } else {
            IDLE_POLLS
        };
        let count = count.min(addresses.len());
        let asked = addresses
            .iter()
            .cycle()
            .skip(turn % addresses.len().max(1))
            .take(count);
        turn = turn.wrapping_add(count);
        for address in asked.copied() {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move { poll(&shared, address).await });
        }
    }
}

async fn poll(shared: &Shared, address: SocketAddrV4) {
    let answer: Result<SiblingLoad, _> = shared
        .client
        .post(address.into(), api::path::LOAD, &(), POLL_TIMEOUT)
        .await;
    let now = Instant::now().into_std();
    let mut state = shared.lock();
    match answer {
        Ok(load) => {
            state.loads.insert(address, load);
            state.siblings.update_load(now, address, sibling(&load));
        }
        Err(_) => {
            state.loads.remove(&address);
            state.siblings.mark_unreachable(address);
        }
    }
}
