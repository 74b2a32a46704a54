//! Link of limited speed that several connections share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// One direction of a VM's link; bytes pass in the order in which they were handed over.
#[derive(Debug, Clone)]
pub struct Link(Arc<Lane>);

#[derive(Debug)]
struct Lane {
    bytes_per_s: AtomicU64,
    /// When the bytes handed over so far have passed.
    free_at: Mutex<Instant>,
    carried: AtomicU64,
}

impl Link {
    /// Link with a speed in kbit/s, at least 8.
    #[must_use]
    pub fn with_kbps(kbps: u64) -> Self {
        Self(Arc::new(Lane {
            bytes_per_s: AtomicU64::new(bytes_per_s(kbps)),
            free_at: Mutex::new(Instant::now()),
            carried: AtomicU64::new(0),
        }))
    }

    /// Changes the speed for all later bytes.
    pub fn set_kbps(&self, kbps: u64) {
        self.0
            .bytes_per_s
            .store(bytes_per_s(kbps), Ordering::Relaxed);
    }

    /// Waits until the bytes have passed.
    pub async fn carry(&self, bytes: usize) {
        let bytes = bytes as u64;
        let speed = self.0.bytes_per_s.load(Ordering::Relaxed);
        let time = Duration::from_micros(bytes * 1_000_000 / speed);
        let passed = {
            let free_at = &self.0.free_at;
            let mut free_at = free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(passed).await;
        self.0.carried.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Bytes that have passed.
    #[must_use]
    pub fn carried(&self) -> u64 {
        self.0.carried.load(Ordering::Relaxed)
    }
}

fn bytes_per_s(kbps: u64) -> u64 {
    (kbps * 1_000 / 8).max(1_000)
}

/// Links in both directions of a proxy; `None` doesn't limit the speed.
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// From client to target.
    pub forth: Option<Link>,
    /// From target to client.
    pub back: Option<Link>,
}
