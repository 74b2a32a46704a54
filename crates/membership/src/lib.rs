//! Leases, member states, table versions and key sets.
