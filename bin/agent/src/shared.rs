//! State that the tasks of the agent share.

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

use crate::settings::Settings;
use crate::standing::Standing;
use crate::stats::Stats;

/// State of the agent.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Start of this agent.
    pub incarnation: Incarnation,
    /// Requests of `http` services.
    pub handler: Handler,
    /// Counters.
    pub stats: Stats,
    /// Flows held.
    pub open: AtomicUsize,
    /// Redirects known.
    pub redirects: AtomicUsize,
    /// Own service in the newest view.
    pub service: watch::Sender<Option<Arc<ServiceView>>>,
    standing: Mutex<Standing>,
    health: Mutex<Health>,
    flow_counts: Mutex<BTreeMap<u64, Counts>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unix time.
#[must_use]
pub fn unix_time() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis::from(since)
}

impl Shared {
    /// State of an agent that just started.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation, handler: Handler) -> Self {
        let health = profile::Health::default();
        Self {
            incarnation,
            handler,
            stats: Stats::default(),
            open: AtomicUsize::new(0),
            redirects: AtomicUsize::new(0),
            service: watch::Sender::new(None),
            standing: Mutex::new(Standing::new(settings.weight)),
            health: Mutex::new(Health::new(health.rise, health.fall)),
            flow_counts: Mutex::default(),
            settings,
        }
    }

    /// Takes the own service from a view.
    pub fn update(&self, view: &View) {
        self.handler.update(view);
        let own = |s: &&Arc<ServiceView>| s.service.name == self.settings.service;
        let service = view.services.values().find(own).cloned();
        if let Some(service) = &service {
            let profile = &service.profile;
            lock(&self.standing).set_warmup(profile.warmup_ms.duration());
            lock(&self.health).set_thresholds(profile.health.rise, profile.health.fall);
        }
        self.service.send_replace(service);
    }

    /// Whether requests are parsed here.
    #[must_use]
    pub fn is_http(&self) -> bool {
        let service = self.service.borrow();
        service
            .as_ref()
            .is_some_and(|s| s.profile.protocol == Protocol::Http)
    }

    /// Takes the result of a connection or probe to the backend server.
    ///
    /// A server that was never seen needs one good result, not a series.
    pub fn observe(&self, source: HealthSource, good: bool) {
        let now = Instant::now();
        let mut health = lock(&self.health);
        health.record(now.into_std(), source, good);
        let mut healthy = health.is_healthy();
        drop(health);
        if source == HealthSource::Probe {
            self.handler.record_probe(good);
        }
        if self.is_http() {
            healthy &= self.handler.is_healthy();
        }
        let mut standing = lock(&self.standing);
        if standing.state(now).is_some() || good {
            standing.set_healthy(healthy, now);
        }
    }

    /// Changes what is announced, and whether requests are relayed.
    pub fn change_standing(&self, change: impl FnOnce(&mut Standing)) {
        let mut standing = lock(&self.standing);
        change(&mut standing);
        self.handler.set_draining(standing.is_leaving());
    }

    /// Whether new flows may be accepted.
    #[must_use]
    pub fn accepting(&self) -> bool {
        let known = self.service.borrow().is_some();
        known && lock(&self.standing).accepting(Instant::now())
    }

    /// What the next heartbeat carries.
    #[must_use]
    pub fn beat(&self) -> HeartbeatPayload {
        let now = Instant::now();
        let standing = lock(&self.standing);
        let backend = standing.state(now).map(|state| Announcement {
            service: self.settings.service.clone(),
            packets: self.settings.packets,
            http: self.settings.http,
            slots: self.settings.slots,
            weight: standing.weight(now),
            state: Some(state),
        });
        HeartbeatPayload {
            flows: self.open.load(Ordering::Relaxed) as u64,
            backend,
        }
    }

    /// Load as siblings see it.
    #[must_use]
    pub fn load(&self) -> SiblingLoad {
        let flows = u32::try_from(self.open.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let serving = self.accepting();
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

    /// Counts a flow that ended.
    pub fn count_flow(&self, kept: bool) {
        let mut counts = lock(&self.flow_counts);
        let bucket = counts.entry(unix_time().0 / 60_000).or_default();
        bucket.kept += u64::from(kept);
        bucket.broken += u64::from(!kept);
    }

    /// Counts since the last call.
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
