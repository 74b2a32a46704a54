//! State shared by all connections of a handler.

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
use crate::backend::BackendPool;
use crate::config::{ClassIndex, ServiceConfig};
use crate::counts::{RequestCounts, RequestResult, unix_now};
use crate::relay::to_sibling;

/// Longest sleep of the timer task, so that it stops soon after its handler is dropped.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Interval between two polls of sibling loads.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Siblings polled per interval while this agent has free slots. A poll and its reply take
/// 572 bytes; polling all 12 siblings of an average service took 14 KB/s in both directions,
/// against 3 KB/s allowed for control traffic.
const POLLS_WHEN_IDLE: usize = 1;

/// Siblings polled per interval while requests may have to be relayed.
const POLLS_WHEN_BUSY: usize = 8;

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a request was not admitted, and the time after which it may be retried. The request
/// did not begin.
pub(crate) type NotAdmitted = (RefusalReason, Duration);

pub(crate) struct State {
    pub(crate) admission: Admission,
    pub(crate) classes: ClassIndex,
    pub(crate) replica: ClaimReplica,
    pub(crate) siblings: Siblings,
    pub(crate) loads: BTreeMap<SocketAddrV4, SiblingLoad>,
    pub(crate) budget: RetryBudget,
    pub(crate) health: Health,
    pub(crate) request_counts: RequestCounts,
    pub(crate) rng: SmallRng,
    waiters: HashMap<u64, oneshot::Sender<Result<Slot, NotAdmitted>>>,
}

pub(crate) struct Shared {
    pub(crate) settings: HandlerSettings,
    pub(crate) client: Client,
    pub(crate) log: Logger,
    key: Key,
    pub(crate) backend: BackendPool,
    config: Mutex<Option<Arc<ServiceConfig>>>,
    state: Mutex<State>,
    timer_changed: Notify,
    draining: watch::Sender<bool>,
    next_id: AtomicU64,
    open_streams: AtomicUsize,
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
            request_counts: RequestCounts::default(),
            rng: SmallRng::seed_from_u64(settings.seed),
            waiters: HashMap::new(),
        };
        let shared = Arc::new(Self {
            backend: BackendPool::new(settings.backend),
            settings,
            client,
            key,
            log,
            config: Mutex::default(),
            state: Mutex::new(state),
            timer_changed: Notify::new(),
            draining: watch::Sender::new(false),
            next_id: AtomicU64::new(1),
            open_streams: AtomicUsize::new(0),
        });
        tokio::spawn(run_timer(Arc::downgrade(&shared)));
        tokio::spawn(run_polls(Arc::downgrade(&shared)));
        shared
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn config(&self) -> Option<Arc<ServiceConfig>> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.as_ref().map(Arc::clone)
    }

    pub(crate) fn configure(self: &Arc<Self>, config: Option<ServiceConfig>) {
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
        self.handle_event(Event::Tick);
        self.timer_changed.notify_one();
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    /// Whether requests may have to be relayed to a sibling.
    fn is_busy(&self) -> bool {
        let now = Instant::now().into_std();
        let admission = &self.lock().admission;
        let full = admission.busy() >= usize::from(admission.slots(now));
        self.is_draining() || full || admission.waiting() > 0
    }

    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns an ID that is unique within this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns an attempt ID that is unique among all agents at all times, since
    /// an incarnation is never reused on a host.
    pub(crate) fn next_attempt_id(&self) -> u128 {
        let incarnation = self.settings.incarnation.0.to_be_bytes();
        let host = self.settings.host.as_str().as_bytes();
        let number = self.next_id().to_be_bytes();
        u128::from_be_bytes(self.key.tag(&[&incarnation, &number, host]))
    }

    pub(crate) fn record_result(&self, class: &Class, result: RequestResult) {
        self.lock()
            .request_counts
            .record(unix_now(), &class.name, result);
    }

    /// Updates the health of the backend server with the result of a request or a probe.
    pub(crate) fn record_health(&self, source: HealthSource, success: bool) {
        let now = Instant::now().into_std();
        let mut state = self.lock();
        if !state.health.record(now, source, success) {
            return;
        }
        if success {
            state.admission.restart_ramp_up(now);
        }
        drop(state);
        slog::info!(self.log, "the health of the backend server changed"; "healthy" => success);
    }

    /// Opens a stream; `None` if `max` streams are open.
    pub(crate) fn try_open_stream(self: &Arc<Self>, max: u32) -> Option<StreamPermit> {
        let max = max as usize;
        let opened = self
            .open_streams
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < max).then_some(open + 1)
            });
        opened.ok().map(|_| StreamPermit(Arc::clone(self)))
    }

    pub(crate) fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::Acquire)
    }

    /// Waits for a slot; `None` if the agent starts draining, because queued
    /// requests must not start at a draining backend server either.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        class: usize,
        deadline: Instant,
    ) -> Option<Result<Slot, NotAdmitted>> {
        let mut draining = self.draining.subscribe();
        tokio::select! {
            biased;
            _ = draining.wait_for(|draining| *draining) => None,
            admitted = self.wait_for_slot(class, deadline) => Some(admitted),
        }
    }

    async fn wait_for_slot(
        self: &Arc<Self>,
        class: usize,
        deadline: Instant,
    ) -> Result<Slot, NotAdmitted> {
        let id = self.next_id();
        let (sender, receiver) = oneshot::channel();
        self.lock().waiters.insert(id, sender);
        let mut waiting = WaitingRequest {
            shared: self,
            id,
            finished: false,
        };
        self.handle_event(Event::Arrive {
            id,
            class,
            deadline: deadline.into_std(),
        });
        let result = receiver.await;
        waiting.finished = true;
        result.unwrap_or(Err((RefusalReason::Full, Duration::from_secs(1))))
    }

    /// Passes an event to admission and completes the requests that it decides.
    pub(crate) fn handle_event(self: &Arc<Self>, event: Event) {
        let now = Instant::now().into_std();
        let mut actions = Vec::new();
        let mut results = Vec::new();
        {
            let mut state = self.lock();
            if let Event::Cancel { id } = event {
                state.waiters.remove(&id);
            }
            state.admission.handle(now, event, &mut actions);
            for action in actions {
                let (Action::Start { id } | Action::Refuse { id, .. }) = action;
                results.push((state.waiters.remove(&id), action));
            }
        }
        // Sent after the lock is released: if the receiver is gone, the slot is
        // dropped, which calls this function again.
        for (sender, action) in results {
            let result = match action {
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
                drop(sender.send(result));
            }
        }
        if event != Event::Tick {
            self.timer_changed.notify_one();
        }
    }
}

/// Queued request; dropping it before it is decided removes it from the queue.
struct WaitingRequest<'a> {
    shared: &'a Arc<Shared>,
    id: u64,
    finished: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.handle_event(Event::Cancel { id: self.id });
        }
    }
}

/// Slot of a running request; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    id: u64,
    pub(crate) ended: Completion,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (id, ended) = (self.id, self.ended);
        self.shared.handle_event(Event::End {
            id,
            completion: ended,
        });
    }
}

/// Permit for an open stream; dropping it lowers the number of open streams.
#[derive(Debug)]
pub(crate) struct StreamPermit(Arc<Shared>);

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.0.open_streams.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Rejects expired requests and starts queued ones when slots become available.
async fn run_timer(shared: Weak<Shared>) {
    loop {
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        let next = shared.lock().admission.next_wakeup(now.into_std());
        let limit = now + MAX_SLEEP;
        let until = next.map_or(limit, |next| Instant::from_std(next).min(limit));
        tokio::select! {
            () = tokio::time::sleep_until(until) => shared.handle_event(Event::Tick),
            () = shared.timer_changed.notified() => {}
        }
    }
}

/// Polls the loads of siblings in round-robin order.
async fn run_polls(shared: Weak<Shared>) {
    let mut next = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let addresses: Vec<SocketAddrV4> = shared.lock().siblings.addresses().collect();
        let count = if shared.is_busy() {
            POLLS_WHEN_BUSY
        } else {
            POLLS_WHEN_IDLE
        };
        let count = count.min(addresses.len());
        let polled = addresses
            .iter()
            .cycle()
            .skip(next % addresses.len().max(1))
            .take(count);
        next = next.wrapping_add(count);
        for address in polled.copied() {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move { poll_sibling(&shared, address).await });
        }
    }
}

async fn poll_sibling(shared: &Shared, address: SocketAddrV4) {
    let reply: Result<SiblingLoad, _> = shared
        .client
        .post(address.into(), api::path::LOAD, &(), POLL_TIMEOUT)
        .await;
    let now = Instant::now().into_std();
    let mut state = shared.lock();
    match reply {
        Ok(load) => {
            state.loads.insert(address, load);
            state.siblings.update_load(now, address, to_sibling(&load));
        }
        Err(_) => {
            state.loads.remove(&address);
            state.siblings.mark_unreachable(address);
        }
    }
}
