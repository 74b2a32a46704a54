//! Ranking by data centre, for opaque flows.
//!
//! Bytes between data centres are costly, so a flow is looked for and placed
//! in the data centre where it entered first. Its home there is the first
//! choice of its hash among the members of that data centre; balancers and
//! agents compute it alike, so an owner knows where to leave its address.

use std::collections::BTreeMap;
use std::sync::Arc;

use api::Table;
use units::{DataCentre, Epoch, ServiceId};
use wire::{Candidate, Candidates};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Ranker;

/// Members of the own data centre that a new flow visits before those of others.
const LOCAL_CHOICES: usize = 4;

/// Members of one table by data centre.
#[derive(Debug, Clone)]
pub struct CentreRanker {
    /// Service.
    pub service: ServiceId,
    /// Version of the table.
    pub epoch: Epoch,
    rankers: BTreeMap<DataCentre, Ranker>,
}

impl CentreRanker {
    /// Ranking of a table.
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

    /// Whether no member takes work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rankers.is_empty()
    }

    /// Members that take work, by data centre.
    pub fn members(&self) -> impl Iterator<Item = (&DataCentre, Candidate)> {
        self.rankers.iter().flat_map(|(centre, ranker)| {
            ranker.members().iter().map(move |m| (centre, m.candidate))
        })
    }

    /// Home of a flow that entered in a data centre.
    #[must_use]
    pub fn home(&self, hash: u64, centre: &DataCentre) -> Option<Candidate> {
        let local = self.first(hash, centre);
        local.or_else(|| self.elsewhere(hash, centre).next())
    }

    /// Agents that a new flow visits: some of the own data centre, then one of each other.
    #[must_use]
    pub fn syn_candidates(&self, hash: u64, centre: &DataCentre) -> Candidates {
        let local = self.rankers.get(centre);
        let local = local.into_iter().flat_map(|r| r.top::<LOCAL_CHOICES>(hash));
        local.chain(self.elsewhere(hash, centre)).collect()
    }

    fn first(&self, hash: u64, centre: &DataCentre) -> Option<Candidate> {
        let ranker = self.rankers.get(centre)?;
        Some(ranker.members()[ranker.first(hash)?].candidate)
    }

    /// First choices in the other data centres, in an order that depends on the flow.
    fn elsewhere(&self, hash: u64, centre: &DataCentre) -> impl Iterator<Item = Candidate> {
        let others = self.rankers.keys().filter(|other| *other != centre);
        let mut others: Vec<_> = others.collect();
        others.sort_by_key(|other| xxh3_64_with_seed(other.as_str().as_bytes(), hash));
        let first = |other: &DataCentre| self.first(hash, other);
        others
            .into_iter()
            .filter_map(first)
            .collect::<Vec<_>>()
            .into_iter()
    }
}

/// Rankings of the current and the earlier tables of a service.
#[derive(Debug, Clone)]
pub struct CentreSteering {
    current: Arc<CentreRanker>,
    earlier: Vec<Arc<CentreRanker>>,
}

impl CentreSteering {
    /// Rankings of a current table and the earlier ones, newest first; those of `known` are reused.
    #[must_use]
    pub fn new<'a>(
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        known: Option<&Self>,
    ) -> Self {
        let centres = |table: &Table| {
            let mut held = known.into_iter().flat_map(Self::all);
            let held = held.find(|c| c.service == table.service && c.epoch == table.epoch);
            held.cloned()
                .unwrap_or_else(|| Arc::new(CentreRanker::new(table)))
        };
        Self {
            current: centres(current),
            earlier: earlier.into_iter().map(centres).collect(),
        }
    }

    fn all(&self) -> impl Iterator<Item = &Arc<CentreRanker>> {
        std::iter::once(&self.current).chain(&self.earlier)
    }

    /// Ranking of the current table.
    #[must_use]
    pub fn current(&self) -> &CentreRanker {
        &self.current
    }

    /// Agents that may know the owner of an open flow: its homes under the current and the earlier
    /// tables, then those in other data centres, where it may have entered before.
    #[must_use]
    pub fn lookup(&self, hash: u64, centre: &DataCentre) -> Candidates {
        let homes = self.all().filter_map(|c| c.home(hash, centre));
        let mut found = Candidates::default();
        for candidate in homes.chain(self.current.elsewhere(hash, centre)) {
            // Earlier tables name earlier starts of the same agent.
            if !found.iter().any(|known| known.address == candidate.address) {
                found.push(candidate);
            }
        }
        found
    }
}
