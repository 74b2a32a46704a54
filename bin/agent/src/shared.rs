//! State shared by the tasks of the agent.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use admission::{Health, HealthSource};
use api::{Announcement, Bucket, Counts, ServiceView, SiblingLoad};
use profile::Protocol;
use requests::Handler;
use tokio::sync::watch;
use tokio::time::Instant;
use units::{Incarnation, Millis, Slots};
use watcher::{HeartbeatPayload, View};

use crate::member_status::MemberStatus;
use crate::settings::Settings;
use crate::stats::Stats;

/// State of the agent, shared by its tasks.
#[derive(Debug)]
pub struct SharedState {
    /// Settings.
    pub settings: Settings,
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Handler of the requests of `http` services.
    pub handler: Handler,
    /// Counters.
    pub stats: Stats,
    /// Open local flows, half-open ones included.
    pub open_flows: AtomicUsize,
    /// Flows that are known to be owned by other agents.
    pub redirects: AtomicUsize,
    /// Service of this agent in the latest view; `None` if it has none.
    pub service: watch::Sender<Option<Arc<ServiceView>>>,
    member_status: Mutex<MemberStatus>,
    health: Mutex<Health>,
    flow_counts: Mutex<BTreeMap<u64, Counts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Current Unix time.
#[must_use]
pub fn unix_time() -> Millis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(since_epoch)
}

impl SharedState {
    /// Creates the state of an agent that has no view yet.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation, handler: Handler) -> Self {
        let health = profile::Health::default();
        Self {
            incarnation,
            handler,
            stats: Stats::default(),
            open_flows: AtomicUsize::new(0),
            redirects: AtomicUsize::new(0),
            service: watch::Sender::new(None),
            member_status: Mutex::new(MemberStatus::new(settings.weight)),
            health: Mutex::new(Health::new(health.rise, health.fall)),
            flow_counts: Mutex::default(),
            settings,
        }
    }

    /// Applies the service of this agent from a view.
    pub fn apply_view(&self, view: &View) {
        self.handler.update(view);
        let is_local = |s: &&Arc<ServiceView>| s.service.name == self.settings.service;
        let service = view.services.values().find(is_local).cloned();
        if let Some(service) = &service {
            let profile = &service.profile;
            lock(&self.member_status).set_warmup(profile.warmup_ms.duration());
            lock(&self.health).set_thresholds(profile.health.rise, profile.health.fall);
        }
        self.service.send_replace(service);
    }

    /// Whether the agent parses requests, which it does for `http` services.
    #[must_use]
    pub fn is_http(&self) -> bool {
        let service = self.service.borrow();
        service
            .as_ref()
            .is_some_and(|s| s.profile.protocol == Protocol::Http)
    }

    /// Records whether a connection to or probe of the backend server succeeded.
    ///
    /// The first success is enough for the first announcement of a backend server.
    pub fn record_health(&self, source: HealthSource, succeeded: bool) {
        let now = Instant::now();
        let mut health = lock(&self.health);
        health.record(now.into_std(), source, succeeded);
        let mut healthy = health.is_healthy();
        drop(health);
        if source == HealthSource::Probe {
            self.handler.record_probe(succeeded);
        }
        if self.is_http() {
            healthy &= self.handler.is_healthy();
        }
        let mut status = lock(&self.member_status);
        if status.state(now).is_some() || succeeded {
            status.set_healthy(healthy, now);
        }
    }

    /// Changes the announced status, and whether the request handler drains.
    pub fn update_status(&self, change: impl FnOnce(&mut MemberStatus)) {
        let mut status = lock(&self.member_status);
        change(&mut status);
        self.handler.set_draining(status.is_leaving());
    }

    /// Whether new flows may be accepted.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        let has_service = self.service.borrow().is_some();
        has_service && lock(&self.member_status).is_accepting(Instant::now())
    }

    /// Content of the next heartbeat.
    #[must_use]
    pub fn heartbeat(&self) -> HeartbeatPayload {
        let now = Instant::now();
        let status = lock(&self.member_status);
        let backend = status.state(now).map(|state| Announcement {
            service: self.settings.service.clone(),
            packets: self.settings.packets,
            http: self.settings.http,
            slots: self.settings.slots,
            weight: status.weight(now),
            state: Some(state),
        });
        HeartbeatPayload {
            flows: self.open_flows.load(Ordering::Relaxed) as u64,
            backend,
        }
    }

    /// Load that is reported to siblings.
    #[must_use]
    pub fn load(&self) -> SiblingLoad {
        let flows = u32::try_from(self.open_flows.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let serving = self.is_accepting();
        if self.is_http() {
            let load = self.handler.load(flows);
            return SiblingLoad {
                serving: serving && load.serving,
                ..load
            };
        }
        let Slots(slots) = self.settings.slots;
        SiblingLoad {
            flows,
            slots,
            serving,
            ..SiblingLoad::default()
        }
    }

    /// Counts an ended flow in the bucket of the current minute.
    pub fn count_flow(&self, kept: bool) {
        let mut counts = lock(&self.flow_counts);
        let bucket = counts.entry(unix_time().0 / 60_000).or_default();
        bucket.kept += u64::from(kept);
        bucket.broken += u64::from(!kept);
    }

    /// Returns the counts since the last call and clears them.
    #[must_use]
    pub fn take_counts(&self) -> Vec<Bucket> {
        let mut buckets = self.handler.take_counts();
        let flows = std::mem::take(&mut *lock(&self.flow_counts));
        buckets.extend(flows.into_iter().map(|(minute, counts)| Bucket {
            minute,
            class: None,
            counts,
        }));
        buckets
    }
}
