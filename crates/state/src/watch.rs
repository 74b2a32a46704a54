//! What a node lacks.

use api::{Scope, ServiceView, Watch, WatchReply};
use units::{ServiceId, Version};

use crate::{ServiceEntry, State};

impl State {
    /// Answer to a long poll; `None` if nothing is newer or this replica is behind the node.
    #[must_use]
    pub fn newer(&self, watch: &Watch) -> Option<WatchReply> {
        if watch.config > self.config || watch.index > self.index {
            return None;
        }
        let complete = watch.index == 0 || watch.index < self.forgotten;
        let (index, config) = if complete {
            (0, Version(0))
        } else {
            (watch.index, watch.config)
        };
        let agent = matches!(watch.scope, Scope::Service(_));
        let mut reply = WatchReply {
            complete,
            ..self.unchanged(watch)
        };
        for entry in self.scoped(&watch.scope) {
            reply
                .services
                .extend(self.view(entry).filter(|view| view.version > config));
            let table = self.tables.get(&entry.id).and_then(|log| log.since(index));
            reply.tables.extend(table);
            let keys = self.keys.get(&entry.id).filter(|_| agent);
            if let Some((first, sets)) = keys.and_then(|log| log.since(index)) {
                reply.keys.push((entry.id, first, sets));
            }
        }
        if !agent {
            reply.routes = self.routes_since(index);
            reply.dropped = self.dropped_since(index);
        }
        reply.retired = self.retired_since(index);
        let changed = reply.config > watch.config
            || !reply.services.is_empty()
            || !reply.retired.is_empty()
            || !reply.routes.is_empty()
            || !reply.dropped.is_empty()
            || !reply.tables.is_empty()
            || !reply.keys.is_empty()
            || agent && self.horizon > watch.horizon;
        changed.then_some(reply)
    }

    /// Answer at the end of a long poll in which nothing became newer.
    #[must_use]
    pub fn unchanged(&self, watch: &Watch) -> WatchReply {
        WatchReply {
            config: self.config.max(watch.config),
            horizon: self.horizon.max(watch.horizon),
            index: self.index.max(watch.index),
            ..WatchReply::default()
        }
    }

    fn scoped<'a>(&'a self, scope: &'a Scope) -> Box<dyn Iterator<Item = &'a ServiceEntry> + 'a> {
        match scope {
            Scope::Service(name) => Box::new(self.services.get(name).into_iter()),
            Scope::Region(region) => {
                let within = |entry: &&ServiceEntry| entry.body.region == *region;
                Box::new(self.services.values().filter(within))
            }
        }
    }

    fn view(&self, entry: &ServiceEntry) -> Option<ServiceView> {
        let profile = self.profiles.get(&entry.body.profile)?;
        Some(ServiceView {
            id: entry.id,
            service: entry.body.clone(),
            profile: profile.body.clone(),
            version: entry.version.max(profile.version),
        })
    }

    fn retired_since(&self, index: u64) -> Vec<ServiceId> {
        let newer = self.retired.iter().filter(|(at, _)| *at > index);
        newer.map(|(_, id)| *id).collect()
    }
}
