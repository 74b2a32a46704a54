//! Addresses of the control replicas.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

#[derive(Debug, Default)]
struct Known {
    /// From the settings.
    seeds: Vec<SocketAddr>,
    /// Members of the group as its leader named them.
    members: Vec<SocketAddr>,
}

/// Addresses from the settings, and those that the leader names.
#[derive(Debug, Default)]
pub struct Replicas(Mutex<Known>);

impl Replicas {
    /// Addresses from the settings.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let members = Vec::new();
        Self(Mutex::new(Known { seeds, members }))
    }

    /// Takes changed settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
    }

    /// Takes the members that the leader names; an empty list changes nothing.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let mut known = self.lock();
        if !members.is_empty() && known.members != members {
            known.members = members.to_vec();
        }
    }

    /// Members, then the addresses of the settings that are none.
    #[must_use]
    pub fn list(&self) -> Vec<SocketAddr> {
        let known = self.lock();
        let others = known.seeds.iter().filter(|s| !known.members.contains(s));
        known.members.iter().chain(others).copied().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
