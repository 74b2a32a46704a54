//! Candidate lists of one service.

use std::time::Duration;

use api::Table;
use tokio::time::Instant;
use units::{Epoch, ServiceId};
use wire::{Candidate, Candidates, Flags, Header};

use crate::{Ranker, Slot};

/// Time after a table change in which agents look for a holder before they accept a SYN.
pub const LOOKUP_PERIOD: Duration = Duration::from_secs(10);

/// Rankers of the current and the earlier tables.
#[derive(Debug, Clone)]
pub struct Steering {
    current: Ranker,
    earlier: Vec<Ranker>,
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
        let current = Ranker::new(current);
        let earlier: Vec<_> = earlier.into_iter().map(Ranker::new).collect();
        let mut palette: Vec<Candidate> = Vec::new();
        for member in std::iter::once(&current)
            .chain(&earlier)
            .flat_map(Ranker::members)
        {
            palette.push(member.candidate);
        }
        palette.sort_by_key(|c| (c.address, c.incarnation));
        palette.dedup();
        Self {
            current,
            earlier,
            lookup_until: changed + LOOKUP_PERIOD,
            palette: palette.into(),
        }
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
        })
    }

    /// Compact form of a candidate list for the flow cache; `None` if it does not fit.
    #[must_use]
    pub fn pack(&self, candidates: &Candidates) -> Option<Slot> {
        let mut slot = Slot::default();
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
    pub fn unpack(&self, slot: &Slot) -> Candidates {
        slot.iter()
            .filter_map(|at| self.palette.get(usize::from(*at)).copied())
            .collect()
    }
}
