//! Candidate lists of one service.

use std::sync::Arc;
use std::time::Duration;

use api::Table;
use tokio::time::Instant;
use units::{Epoch, ServiceId};
use wire::{Candidate, Candidates, Flags, Header};

use crate::{PackedCandidates, Ranker};

/// Time after a table change in which agents look for a holder before they accept a SYN.
pub const LOOKUP_PERIOD: Duration = Duration::from_secs(10);

/// Rankers of the current and the earlier tables.
#[derive(Debug, Clone)]
pub struct Steering {
    current: Arc<Ranker>,
    earlier: Vec<Arc<Ranker>>,
    lookup_until: Instant,
    palette: Box<[Candidate]>,
}

impl Steering {
    /// Steering for a current table and the earlier ones, newest first.
    #[must_use]
    pub fn new<'a>(
        current: &Table,
        earlier: impl IntoIterator<Item = &'a Table>,
        changed: Instant,
    ) -> Self {
        Self::build(&[], current, earlier, changed)
    }

    /// Steering after a table change; rankers of tables that it knows are kept, since a lookup table
    /// of a large service takes long to fill.
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
            let held = known
                .iter()
                .find(|r| r.service == table.service && r.epoch == table.epoch);
            held.cloned()
                .unwrap_or_else(|| Arc::new(Ranker::new(table)))
        };
        let mut steering = Self {
            current: ranker(current),
            earlier: earlier.into_iter().map(ranker).collect(),
            lookup_until: changed + LOOKUP_PERIOD,
            palette: Box::default(),
        };
        let members = steering.rankers().flat_map(|ranker| ranker.members());
        let mut palette: Vec<_> = members.map(|member| member.candidate).collect();
        palette.sort_by_key(|c| (c.address, c.incarnation));
        palette.dedup();
        steering.palette = palette.into();
        steering
    }

    fn rankers(&self) -> impl Iterator<Item = &Arc<Ranker>> {
        std::iter::once(&self.current).chain(&self.earlier)
    }

    /// Service.
    #[must_use]
    pub fn service(&self) -> ServiceId {
        self.current.service
    }

    /// Version of the current table.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.current.epoch
    }

    /// Candidates of a flow: first and second choice, then first choices under earlier tables.
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

    /// Outer header for a packet, or `None` if no member takes work and none did.
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

    /// Compact form of a candidate list for the flow cache; `None` if it does not fit.
    #[must_use]
    pub fn pack(&self, candidates: &Candidates) -> Option<PackedCandidates> {
        let mut slot = PackedCandidates::default();
        for candidate in candidates.iter() {
            let key = (candidate.address, candidate.incarnation);
            let at = self
                .palette
                .binary_search_by_key(&key, |c| (c.address, c.incarnation))
                .ok()?;
            slot.push(u16::try_from(at).ok()?);
        }
        Some(slot)
    }

    /// Inverse of [`Steering::pack`].
    #[must_use]
    pub fn unpack(&self, slot: &PackedCandidates) -> Candidates {
        slot.iter()
            .filter_map(|at| self.palette.get(usize::from(*at)).copied())
            .collect()
    }
}
