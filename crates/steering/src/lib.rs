//! Which agents a packet may go to.
//!
//! Every balancer computes the same candidates from the same tables, so none
//! needs the state of another. Ownership of a flow is decided at the agents;
//! steering only has to name a short list that leads to the owner.

mod cache;
mod centres;
mod maglev;
mod owners;
mod rank;
mod steer;

pub use cache::{CacheSettings, CacheStats, FlowCache, Slot};
pub use centres::{CentreSteering, Centres};
pub use maglev::{MAGLEV_THRESHOLD, Maglev};
pub use owners::Owners;
pub use rank::{Ranked, Ranker};
pub use steer::{LOOKUP_PERIOD, Steering};
