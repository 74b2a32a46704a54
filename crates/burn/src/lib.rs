//! Service-level burn rates and the audit record.
