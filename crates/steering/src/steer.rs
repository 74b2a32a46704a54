//! Computes the candidate lists of one service.

use std::sync::Arc;
use std::time::Duration;

use api::Table;
use tokio::time::Instant;
use units::{Epoch, ServiceId};
use wire::{Candidate, Candidates, Flags, Header};

use crate::{PackedCandidates, Ranker};

/// Time after a table change in which agents look for an owner before they accept a SYN.
pub const LOOKUP_PERIOD: Duration = Duration::from_secs(10);

/// Computes candidate lists from the rankers of the current and the earlier tables.
#[derive(Debug, Clone)]
pub struct Steering {
    current: Arc<Ranker>,
    earlier: Vec<Arc<Ranker>>,
    lookup_until: Instant,
    /// Candidates of all tables, sorted; packed lists hold indexes into it.
    all_candidates: Box<[Candidate]>,
}

impl Steering {
    /// Creates the steering of a current table and the earlier ones, newest first.
    #[must_use]
    pub fn new<'a>(
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        changed: Instant,
    ) -> Self {
        Self::build(&[], current, earlier, changed)
    }

    /// Creates the steering after a table change. It reuses the rankers of known tables, because
    /// building the Maglev table of a large service is slow.
    #[must_use]
    pub fn updated<'a>(
        &self,
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        changed: Instant,
    ) -> Self {
        let known: Vec<_> = self.rankers().cloned().collect();
        Self::build(&known, current, earlier, changed)
    }

    fn build<'a>(
        known: &[Arc<Ranker>],
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        changed: Instant,
    ) -> Self {
        let ranker = |table: &Table| {
            let existing = known
                .iter()
                .find(|r| r.service == table.service && r.epoch == table.epoch);
            existing
                .cloned()
                .unwrap_or_else(|| Arc::new(Ranker::new(table)))
        };
        let mut steering = Self {
            current: ranker(current),
            earlier: earlier.into_iter().map(ranker).collect(),
            lookup_until: changed + LOOKUP_PERIOD,
            all_candidates: Box::default(),
        };
        let members = steering.rankers().flat_map(|ranker| ranker.members());
        let mut all_candidates: Vec<_> = members.map(|member| member.candidate).collect();
        all_candidates.sort_by_key(|c| (c.address, c.incarnation));
        all_candidates.dedup();
        steering.all_candidates = all_candidates.into();
        steering
    }

    fn rankers(&self) -> impl Iterator<Item = &Arc<Ranker>> {
        std::iter::once(&self.current).chain(&self.earlier)
    }

    /// Service whose flows are steered.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.current.service
    }

    /// Version of the current table.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.current.epoch
    }

    /// Candidates of a flow: first and second choice, then the first choice under each earlier table.
    #[must_use]
    pub fn candidates(&self, hash: u64) -> Candidates {
        let (first, second) = self.current.choices(hash);
        let mut list = Candidates::default();
        for index in [first, second].into_iter().flatten() {
            list.push(self.current.members()[index].candidate);
        }
        for ranker in &self.earlier {
            if let Some(index) = ranker.first(hash) {
                list.push(ranker.members()[index].candidate);
            }
        }
        list
    }

    /// Outer header for a packet; `None` without candidates.
    #[must_use]
    pub fn header(&self, candidates: Candidates, now: Instant) -> Option<Header> {
        let lookup = now < self.lookup_until && candidates.len() > 1;
        (!candidates.is_empty()).then(|| Header {
            hop: 0,
            flags: Flags {
                lookup,
                accept: false,
            },
            service: self.service(),
            epoch: self.epoch(),
            candidates,
            ..Header::default()
        })
    }

    /// Packs a candidate list for the flow cache; `None` if a candidate is unknown or its index doesn't
    /// fit into 16 bits.
    #[must_use]
    pub fn pack(&self, candidates: &Candidates) -> Option<PackedCandidates> {
        let mut packed = PackedCandidates::default();
        for candidate in candidates.iter() {
            let key = (candidate.address, candidate.incarnation);
            let at = self
                .all_candidates
                .binary_search_by_key(&key, |c| (c.address, c.incarnation))
                .ok()?;
            packed.push(u16::try_from(at).ok()?);
        }
        Some(packed)
    }

    /// Unpacks a list packed by [`Steering::pack`].
    #[must_use]
    pub fn unpack(&self, packed: &PackedCandidates) -> Candidates {
        packed
            .iter()
            .filter_map(|at| self.all_candidates.get(usize::from(*at)).copied())
            .collect()
    }
}
