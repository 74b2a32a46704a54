//! Service configuration that a handler reads from a view.

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

/// Another agent of the same service.
#[derive(Debug, Clone)]
pub(crate) struct SiblingAgent {
    pub(crate) http: SocketAddrV4,
    pub(crate) incarnation: Incarnation,
}

/// Configuration of the service as this agent knows it.
#[derive(Debug)]
pub(crate) struct ServiceConfig {
    pub(crate) service: ServiceId,
    pub(crate) profile: Profile,
    pub(crate) siblings: Vec<SiblingAgent>,
    pub(crate) keys: Arc<[KeySet]>,
    pub(crate) horizon: Millis,
}

impl ServiceConfig {
    /// Looks up the service named in the settings; `None` if the view doesn't contain it.
    pub(crate) fn from_view(settings: &HandlerSettings, view: &View) -> Option<Self> {
        let view_service = view
            .services
            .values()
            .find(|service| service.service.name == settings.service)?;
        let is_self = |host: &HostName, incarnation: Incarnation| {
            *host == settings.host && incarnation == settings.incarnation
        };
        let siblings = view.tables.get(&view_service.id).map(|tables| {
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
            service: view_service.id,
            profile: view_service.profile.clone(),
            siblings: siblings.unwrap_or_default(),
            keys: view
                .keys
                .get(&view_service.id)
                .map_or_else(|| Vec::new().into(), Arc::clone),
            horizon: view.horizon,
        })
    }

    /// Index of the first class that matches.
    pub(crate) fn classify(&self, method: &Method, path: &str) -> Option<usize> {
        self.profile.classes.iter().position(|class| {
            let method_matches = class.method.as_deref().is_none_or(|m| m == method.as_str());
            method_matches && path.starts_with(&*class.path)
        })
    }

    pub(crate) fn class(&self, index: usize) -> Option<&Class> {
        self.profile.classes.get(index)
    }

    /// Latency objective of a class; its deadline if it has no objective.
    pub(crate) fn latency_objective(&self, class: &Class) -> Duration {
        let objective = self
            .profile
            .objectives
            .iter()
            .find(|objective| objective.class == class.name);
        objective
            .map_or(class.deadline_ms, |objective| objective.latency_ms)
            .duration()
    }

    /// Admission limits for the local backend server.
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

/// Maps class names to the indexes that admission uses; an index is never reused for another name.
#[derive(Debug, Default)]
pub(crate) struct ClassIndex {
    names: Vec<ClassName>,
    limits: Vec<ClassLimits>,
}

impl ClassIndex {
    /// Adds or updates the classes of a profile; returns the limits of all classes.
    pub(crate) fn update(&mut self, classes: &[Class]) -> Vec<ClassLimits> {
        for class in classes {
            let limits = ClassLimits {
                tier: class.tier,
                short: class.short,
            };
            match self.find(&class.name) {
                Some(index) => self.limits[index] = limits,
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
