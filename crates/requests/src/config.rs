//! What a handler takes from a view.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use admission::{ClassLimits, Limits};
use api::KeySet;
use http::Method;
use profile::{Class, Profile};
use units::{ClassName, HostName, Incarnation, Millis, ServiceId};
use watcher::View;

use crate::HandlerSettings;

/// Sibling agent.
#[derive(Debug, Clone)]
pub(crate) struct SiblingAgent {
    pub(crate) http: SocketAddrV4,
    pub(crate) incarnation: Incarnation,
}

/// Service as it is in force here.
#[derive(Debug)]
pub(crate) struct Config {
    pub(crate) service: ServiceId,
    pub(crate) profile: Profile,
    pub(crate) siblings: Vec<SiblingAgent>,
    pub(crate) keys: Arc<[KeySet]>,
    pub(crate) horizon: Millis,
}

impl Config {
    /// The service of the settings, or `None` while the view lacks it.
    pub(crate) fn from_view(settings: &HandlerSettings, view: &View) -> Option<Self> {
        let found = view
            .services
            .values()
            .find(|service| service.service.name == settings.service)?;
        let is_self = |host: &HostName, incarnation: Incarnation| {
            *host == settings.host && incarnation == settings.incarnation
        };
        let siblings = view.tables.get(&found.id).map(|tables| {
            let members = tables.current.members.iter();
            members
                .filter(|m| m.state.takes_work() && !is_self(&m.host, m.incarnation))
                .map(|m| SiblingAgent {
                    http: m.http,
                    incarnation: m.incarnation,
                })
                .collect()
        });
        Some(Self {
            service: found.id,
            profile: found.profile.clone(),
            siblings: siblings.unwrap_or_default(),
            keys: view
                .keys
                .get(&found.id)
                .map_or_else(|| Vec::new().into(), Arc::clone),
            horizon: view.horizon,
        })
    }

    /// Index of the first class that matches.
    pub(crate) fn classify(&self, method: &Method, path: &str) -> Option<usize> {
        self.profile.classes.iter().position(|class| {
            let method_fits = class.method.as_deref().is_none_or(|m| m == method.as_str());
            method_fits && path.starts_with(&*class.path)
        })
    }

    pub(crate) fn class(&self, index: usize) -> Option<&Class> {
        self.profile.classes.get(index)
    }

    /// Longest time of a good answer.
    pub(crate) fn latency(&self, class: &Class) -> Duration {
        let objective = self
            .profile
            .objectives
            .iter()
            .find(|objective| objective.class == class.name);
        objective
            .map_or(class.deadline_ms, |objective| objective.latency_ms)
            .duration()
    }

    /// Limits of the local backend server.
    pub(crate) fn limits(&self, settings: &HandlerSettings) -> Limits {
        let concurrency = &self.profile.concurrency;
        Limits {
            slots: settings.slots.0.max(1),
            reserved: concurrency.reserved,
            queue: concurrency.queue as usize,
            long_after: concurrency.long_ms.duration(),
            warmup: self.profile.warmup_ms.duration(),
            fall: self.profile.health.fall,
            rise: self.profile.health.rise,
            ..Limits::default()
        }
    }
}

/// Classes that admission knows by index; an index is never given to another name.
#[derive(Debug, Default)]
pub(crate) struct ClassIndex {
    names: Vec<ClassName>,
    limits: Vec<ClassLimits>,
}

impl ClassIndex {
    /// Adds or changes the classes of a profile.
    pub(crate) fn update(&mut self, classes: &[Class]) -> Vec<ClassLimits> {
        for class in classes {
            let limits = ClassLimits {
                tier: class.tier,
                short: class.short,
            };
            match self.find(&class.name) {
                Some(at) => self.limits[at] = limits,
                None => {
                    self.names.push(class.name.clone());
                    self.limits.push(limits);
                }
            }
        }
        self.limits.clone()
    }

    pub(crate) fn find(&self, name: &ClassName) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }
}
