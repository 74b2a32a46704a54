//! Ranking by data centre, for opaque flows.
//!
//! Traffic between data centres is expensive, so a flow is placed and looked up
//! first in the data centre where it entered. The home agent of a flow is the
//! first choice for its hash among the members of that data centre. Balancers
//! and agents compute the same home, so an owner knows where to register.

use std::collections::BTreeMap;
use std::sync::Arc;

use api::Table;
use units::{DataCentre, Epoch, ServiceId};
use wire::{Candidate, Candidates};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Ranker;

/// Members of the local data centre that a SYN is sent to before those of other data centres.
const LOCAL_CANDIDATES: usize = 4;

/// Ranks the members of one table within each data centre.
#[derive(Debug, Clone)]
pub struct CentreRanker {
    /// Service that the table lists the members of.
    pub service: ServiceId,
    /// Version of the table.
    pub epoch: Epoch,
    rankers: BTreeMap<DataCentre, Ranker>,
}

impl CentreRanker {
    /// Creates the ranker of a table.
    #[must_use]
    pub fn new(table: &Table) -> Self {
        let mut members: BTreeMap<DataCentre, Vec<&api::Member>> = BTreeMap::new();
        for member in &table.members {
            members
                .entry(member.centre.clone())
                .or_default()
                .push(member);
        }
        let ranker = |members: Vec<&api::Member>| Ranker::from_members(table, members);
        let rankers = members.into_iter().map(|(centre, m)| (centre, ranker(m)));
        Self {
            service: table.service,
            epoch: table.epoch,
            rankers: rankers.filter(|(_, r)| !r.members().is_empty()).collect(),
        }
    }

    /// Whether no member takes new flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rankers.is_empty()
    }

    /// Members that take new flows, by data centre.
    pub fn members(&self) -> impl Iterator<Item = (&DataCentre, Candidate)> {
        self.rankers.iter().flat_map(|(centre, ranker)| {
            ranker.members().iter().map(move |m| (centre, m.candidate))
        })
    }

    /// Home agent of a flow that entered in `centre`; that of another data centre if `centre` has no
    /// member.
    #[must_use]
    pub fn home(&self, hash: u64, centre: &DataCentre) -> Option<Candidate> {
        let local = self.first_in(hash, centre);
        local.or_else(|| self.remote_choices(hash, centre).next())
    }

    /// Agents to try for a SYN: several of the local data centre, then one of each other data centre.
    #[must_use]
    pub fn syn_candidates(&self, hash: u64, centre: &DataCentre) -> Candidates {
        let local = self.rankers.get(centre);
        let local = local
            .into_iter()
            .flat_map(|r| r.top::<LOCAL_CANDIDATES>(hash));
        local.chain(self.remote_choices(hash, centre)).collect()
    }

    fn first_in(&self, hash: u64, centre: &DataCentre) -> Option<Candidate> {
        let ranker = self.rankers.get(centre)?;
        Some(ranker.members()[ranker.first(hash)?].candidate)
    }

    /// First choice of each other data centre, in an order that depends on the flow.
    fn remote_choices(&self, hash: u64, centre: &DataCentre) -> impl Iterator<Item = Candidate> {
        let others = self.rankers.keys().filter(|other| *other != centre);
        let mut others: Vec<_> = others.collect();
        others.sort_by_key(|other| xxh3_64_with_seed(other.as_str().as_bytes(), hash));
        let first = |other: &DataCentre| self.first_in(hash, other);
        others
            .into_iter()
            .filter_map(first)
            .collect::<Vec<_>>()
            .into_iter()
    }
}

/// Rankers of the current and the earlier tables of a service.
#[derive(Debug, Clone)]
pub struct CentreSteering {
    current: Arc<CentreRanker>,
    earlier: Vec<Arc<CentreRanker>>,
}

impl CentreSteering {
    /// Creates the rankers of a current table and the earlier ones, newest first; reuses those of
    /// `previous` for unchanged tables.
    #[must_use]
    pub fn new<'a>(
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        previous: Option<&Self>,
    ) -> Self {
        let ranker = |table: &Table| {
            let mut existing = previous.into_iter().flat_map(Self::rankers);
            let existing = existing.find(|r| r.service == table.service && r.epoch == table.epoch);
            existing
                .cloned()
                .unwrap_or_else(|| Arc::new(CentreRanker::new(table)))
        };
        Self {
            current: ranker(current),
            earlier: earlier.into_iter().map(ranker).collect(),
        }
    }

    fn rankers(&self) -> impl Iterator<Item = &Arc<CentreRanker>> {
        std::iter::once(&self.current).chain(&self.earlier)
    }

    /// Ranker of the current table.
    #[must_use]
    pub fn current(&self) -> &CentreRanker {
        &self.current
    }

    /// Agents that may know the owner of an open flow: its homes under the current and the earlier
    /// tables, then those in other data centres, where its earlier packets may have entered.
    #[must_use]
    pub fn lookup(&self, hash: u64, centre: &DataCentre) -> Candidates {
        let homes = self.rankers().filter_map(|r| r.home(hash, centre));
        let mut found = Candidates::default();
        for candidate in homes.chain(self.current.remote_choices(hash, centre)) {
            // Earlier tables may list an earlier incarnation of the same agent.
            if !found.iter().any(|other| other.address == candidate.address) {
                found.push(candidate);
            }
        }
        found
    }
}
