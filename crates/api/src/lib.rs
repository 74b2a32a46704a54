//! Messages between the processes, and between operators and control.
//!
//! Processes exchange sealed MessagePack (crate `rpc`), operators exchange
//! JSON. Every message is idempotent, by itself or through the version or key that
//! it carries. Field sizes are bounded by the limits of `units` and `profile`.

mod keys;
mod member;
mod operator;
mod relay;
mod report;
mod watch;

pub use keys::{
    Claim, ClaimReply, Done, KeyMember, KeySet, Lookup, MAX_KEY_BYTES, MAX_STORED_RESPONSE_BYTES,
    RequestKey, StoredResponse,
};
pub use member::{Member, MemberState, Table, TableDelta, TableUpdate};
pub use operator::{
    Announce, Announced, AuditEntry, AuditEvent, Conflict, Failure, PutReply, PutRequest,
    ReplaceReply, Retire, Stored, Target, TargetKind,
};
pub use relay::{RelayHead, SiblingLoad};
pub use report::{
    Bucket, BurnBatch, BurnReply, BurnWindow, Counts, NodeStatus, ObjectiveReport, Pending, Report,
    ServiceReport, Status,
};
pub use watch::{
    Announcement, Heartbeat, HeartbeatReply, Order, Role, RouteView, Scope, ServiceView,
    TargetView, Watch, WatchReply,
};

/// Paths of the interfaces between processes, and between operators and control.
///
/// A control replica that is not the leader responds with status 421 and a
/// [`crate::Failure`] as JSON with the address of the leader, or with status 503
/// if it knows no leader.
pub mod path {
    /// Heartbeat of a node to the control leader.
    pub const HEARTBEAT: &str = "/v1/heartbeat";
    /// Long poll for tables and profiles at any control replica.
    pub const WATCH: &str = "/v1/watch";
    /// Linearizable read of tables and profiles at the control leader; the request is a
    /// [`Watch`](crate::Watch) whose wait is ignored.
    pub const READ: &str = "/v1/read";
    /// Request counts for the error budget burn report, to the control leader.
    pub const BURN: &str = "/v1/burn";
    /// Messages of the replicated log.
    pub const REPLICATE: &str = "/v1/replicate";
    /// Claim of an idempotency key at a replica agent.
    pub const CLAIM: &str = "/v1/claim";
    /// Outcome of a claimed key.
    pub const DONE: &str = "/v1/done";
    /// State of a key at a replica agent.
    pub const LOOKUP: &str = "/v1/lookup";
    /// Request forwarded to a sibling agent.
    pub const RELAY: &str = "/v1/relay";
    /// Load of a sibling agent.
    pub const LOAD: &str = "/v1/load";
    /// Declarations, for operators.
    pub const DECLARATIONS: &str = "/v1/declarations";
    /// Planned changes, for operators.
    pub const ANNOUNCEMENTS: &str = "/v1/announcements";
    /// Status, for operators.
    pub const STATUS: &str = "/v1/status";
    /// Report, for operators.
    pub const REPORT: &str = "/v1/report";
    /// Audit log, for operators.
    pub const AUDIT: &str = "/v1/audit";
}
