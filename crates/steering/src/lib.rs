//! Ranking of members, candidate lists and the flow cache.
