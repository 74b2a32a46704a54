//! Replies to the long polls of nodes.

use api::{Scope, ServiceView, Watch, WatchReply};
use units::{ServiceId, Version};

use crate::{ServiceEntry, State};

impl State {
    /// Reply to a long poll; `None` if nothing is newer, or this replica lags behind the node.
    #[must_use]
    pub fn watch_reply(&self, watch: &Watch) -> Option<WatchReply> {
        if watch.config > self.config || watch.index > self.index {
            return None;
        }
        let complete = watch.index == 0 || watch.index < self.pruned_index;
        let (index, config) = if complete {
            (0, Version(0))
        } else {
            (watch.index, watch.config)
        };
        let agent = matches!(watch.scope, Scope::Service(_));
        let mut reply = WatchReply {
            complete,
            ..self.unchanged_reply(watch)
        };
        for entry in self.services_in(&watch.scope) {
            reply.services.extend(
                self.service_view(entry)
                    .filter(|view| view.version > config),
            );
            let table = self
                .tables
                .get(&entry.id)
                .and_then(|log| log.update_since(index));
            reply.tables.extend(table);
            let keys = self.keys.get(&entry.id).filter(|_| agent);
            if let Some((first, sets)) = keys.and_then(|log| log.added_since(index)) {
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

    /// Reply to a linearizable read; `None` if the node's view is newer than this state.
    #[must_use]
    pub fn read_reply(&self, watch: &Watch) -> Option<WatchReply> {
        if watch.config > self.config || watch.index > self.index {
            return None;
        }
        let reply = self.watch_reply(watch);
        let reply = reply.unwrap_or_else(|| self.unchanged_reply(watch));
        Some(WatchReply {
            current: true,
            ..reply
        })
    }

    /// Reply to a long poll that ends without a change.
    #[must_use]
    pub fn unchanged_reply(&self, watch: &Watch) -> WatchReply {
        WatchReply {
            config: self.config.max(watch.config),
            horizon: self.horizon.max(watch.horizon),
            index: self.index.max(watch.index),
            ..WatchReply::default()
        }
    }

    fn services_in<'a>(
        &'a self,
        scope: &'a Scope,
    ) -> Box<dyn Iterator<Item = &'a ServiceEntry> + 'a> {
        match scope {
            Scope::Service(name) => Box::new(self.services.get(name).into_iter()),
            Scope::Region(region) => {
                let in_region = |entry: &&ServiceEntry| entry.body.region == *region;
                Box::new(self.services.values().filter(in_region))
            }
        }
    }

    fn service_view(&self, entry: &ServiceEntry) -> Option<ServiceView> {
        let profile = self.profiles.get(&entry.body.profile)?;
        Some(ServiceView {
            id: entry.id,
            service: entry.body.clone(),
            profile: profile.body.clone(),
            version: entry.version.max(profile.version),
        })
    }

    fn retired_since(&self, index: u64) -> Vec<ServiceId> {
        let newer = self.retired.iter().filter(|(retired, _)| *retired > index);
        newer.map(|(_, id)| *id).collect()
    }
}
