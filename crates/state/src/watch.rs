//! What a node lacks.

use std::collections::BTreeMap;

use api::{Held, Scope, ServiceView, Watch, WatchReply};
use units::{ServiceId, Version};

use crate::{ServiceEntry, State};

impl State {
    /// Answer to a long poll; `None` if nothing is newer or this replica is behind the node.
    #[must_use]
    pub fn newer(&self, watch: &Watch) -> Option<WatchReply> {
        if watch.config > self.config {
            return None;
        }
        let held: BTreeMap<ServiceId, &Held> = watch.held.iter().map(|h| (h.service, h)).collect();
        let agent = matches!(watch.scope, Scope::Service(_));
        let mut reply = WatchReply {
            config: self.config,
            horizon: self.horizon.max(watch.horizon),
            ..WatchReply::default()
        };
        for entry in self.scoped(&watch.scope) {
            let held = held.get(&entry.id).copied();
            // A node that came to the service after its last change holds neither.
            let since = held.map_or(Version(0), |_| watch.config);
            reply
                .services
                .extend(self.view(entry).filter(|view| view.version > since));
            let log = self.tables.get(&entry.id);
            let epoch = held.map(|h| h.epoch).unwrap_or_default();
            reply.tables.extend(log.and_then(|log| log.since(epoch)));
            let keys = self.keys.get(&entry.id).filter(|_| agent);
            let count = held.map_or(0, |h| h.key_sets);
            if let Some((first, sets)) = keys.and_then(|log| log.since(count)) {
                reply.keys.push((entry.id, first, sets));
            }
        }
        reply.retired = self.retired(watch);
        let changed = reply.config > watch.config
            || !reply.services.is_empty()
            || !reply.retired.is_empty()
            || !reply.tables.is_empty()
            || !reply.keys.is_empty()
            || agent && self.horizon > watch.horizon;
        changed.then_some(reply)
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

    /// Held services that no longer exist, however long ago they were retired.
    /// A service has a table from its first version on, so every node that
    /// knows a service holds its table.
    fn retired(&self, watch: &Watch) -> Vec<ServiceId> {
        let held = watch.held.iter().map(|held| held.service);
        held.filter(|id| !self.tables.contains_key(id)).collect()
    }
}
