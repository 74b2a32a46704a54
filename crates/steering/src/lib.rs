//! Selects the agents that a packet may be sent to.
//!
//! Every balancer computes the same candidates from the same tables, so
//! balancers share no state. Agents decide which of them owns a flow; steering
//! only has to return a short list that leads to the owner.

mod cache;
mod centre_ranker;
mod maglev;
mod owner_cache;
mod rank;
mod steer;

pub use cache::{CacheSettings, CacheStats, FlowCache, PackedCandidates};
pub use centre_ranker::{CentreRanker, CentreSteering};
pub use maglev::{Maglev, RENDEZVOUS_MAX_MEMBERS};
pub use owner_cache::OwnerCache;
pub use rank::{RankedMember, Ranker};
pub use steer::{LOOKUP_PERIOD, Steering};
