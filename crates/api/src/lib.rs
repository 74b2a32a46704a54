//! Messages between the processes, and between operators and control.
//!
//! Processes exchange sealed MessagePack (crate `rpc`), operators exchange
//! JSON. Every message is idempotent or carries the version or key that makes
//! it so. Field sizes are bounded by the limits of `units` and `profile`.

mod keys;
mod member;
mod operator;
mod relay;
mod report;
mod watch;

pub use keys::{
    Claim, ClaimReply, Done, KeptAnswer, KeyMember, KeySet, Lookup, MAX_KEPT_ANSWER, MAX_KEY,
    RequestKey,
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

/// Paths of the interfaces between processes, and of operators to control.
///
/// A control replica that is not the leader answers status 421 with a
/// [`crate::Failure`] as JSON that holds the leader's address; without a known
/// leader the status is 503.
pub mod path {
    /// Heartbeat of a node to the control leader.
    pub const HEARTBEAT: &str = "/v1/heartbeat";
    /// Long poll for tables and profiles at any control replica.
    pub const WATCH: &str = "/v1/watch";
    /// Counts for the burn report, to the control leader.
    pub const BURN: &str = "/v1/burn";
    /// Messages of the replicated log.
    pub const REPLICATE: &str = "/v1/replicate";
    /// Claim of an idempotency key at a replica agent.
    pub const CLAIM: &str = "/v1/claim";
    /// Outcome of a claimed key.
    pub const DONE: &str = "/v1/done";
    /// What a replica agent knows of a key.
    pub const LOOKUP: &str = "/v1/lookup";
    /// Request handed to a sibling agent.
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
    /// Audit record, for operators.
    pub const AUDIT: &str = "/v1/audit";
}
