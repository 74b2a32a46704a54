//! Addresses of the control replicas.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

#[derive(Debug, Default)]
struct AddressLists {
    /// From the settings.
    seeds: Vec<SocketAddr>,
    /// Members of the group, as reported by its leader.
    members: Vec<SocketAddr>,
}

/// Addresses from the settings, and those that the leader reports.
#[derive(Debug, Default)]
pub struct Replicas(Mutex<AddressLists>);

impl Replicas {
    /// Starts with the addresses from the settings.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let members = Vec::new();
        Self(Mutex::new(AddressLists { seeds, members }))
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.lock().seeds = seeds;
    }

    /// Replaces the members that the leader reports; an empty list changes nothing.
    pub fn set_members(&self, members: &[SocketAddr]) {
        let mut lists = self.lock();
        if !members.is_empty() && lists.members != members {
            lists.members = members.to_vec();
        }
    }

    /// Members, followed by the addresses from the settings that are not members.
    #[must_use]
    pub fn list(&self) -> Vec<SocketAddr> {
        let lists = self.lock();
        let others = lists.seeds.iter().filter(|s| !lists.members.contains(s));
        lists.members.iter().chain(others).copied().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, AddressLists> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
