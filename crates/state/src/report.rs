//! Reports for operators.

use api::{AuditEntry, Report, ServiceReport};
use burn::{ExpectedAgent, service_report};
use units::Millis;

use crate::{ServiceEntry, State};

impl State {
    /// Creates the report; `now` is the time of the reader's clock.
    #[must_use]
    pub fn report(&self, now: Millis) -> Report {
        let now = now.max(self.now);
        let service = |entry| self.service_report(now, entry);
        Report {
            at: now,
            services: self.services.values().filter_map(service).collect(),
            audit: self.audit.changes(),
        }
    }

    fn service_report(&self, now: Millis, entry: &ServiceEntry) -> Option<ServiceReport> {
        let profile = self.profiles.get(&entry.body.profile)?;
        let members = &self.tables.get(&entry.id)?.table.members;
        let agents: Vec<_> = members
            .iter()
            .map(|m| ExpectedAgent {
                host: m.host.clone(),
                incarnation: m.incarnation,
            })
            .collect();
        let name = &entry.body.name;
        Some(service_report(
            now,
            &self.burn,
            name,
            entry.id,
            &profile.body,
            &agents,
        ))
    }

    /// Audit log, oldest entry first.
    #[must_use]
    pub fn audit(&self) -> Vec<AuditEntry> {
        self.audit.all()
    }
}
