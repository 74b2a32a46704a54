//! Planned changes.

use api::{Announce, Announced, AuditEvent, Target};
use serde::{Deserialize, Serialize};
use units::{HostName, Millis, Version};

use crate::declare::check_author;
use crate::{Outcome, State};

/// Maximum number of planned changes that have not ended.
pub const MAX_PLANS: usize = 4_096;

/// Maximum duration of a planned change: 7 days. A VM that is out of service for longer should be
/// removed instead.
pub const MAX_PLAN_MS: u64 = 7 * 86_400_000;

/// Planned change of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// VM that it concerns.
    pub target: Target,
    /// From this time on the VM takes no new work.
    pub start: Millis,
    /// From this time on the VM takes new work again.
    pub end: Millis,
    /// Operator who announced it.
    pub author: Box<str>,
}

impl Plan {
    /// Whether the VM takes no new work at `now`.
    #[must_use]
    pub fn is_active(&self, now: Millis) -> bool {
        self.start <= now && now < self.end
    }
}

impl State {
    pub(crate) fn announce(&mut self, request: &Announce) -> Outcome {
        let now = self.now;
        if let Some(rejection) = check_author(&request.author) {
            return rejection;
        }
        if request.end <= request.start || request.end <= now {
            return Outcome::invalid(format!(
                "a planned change from {} to {} has no time left; its end must be after its \
                 start and in the future",
                request.start, request.end
            ));
        }
        if request.end.since(request.start).0 > MAX_PLAN_MS {
            return Outcome::invalid(format!(
                "a planned change of {} ms is too long; use at most {MAX_PLAN_MS} ms",
                request.end.since(request.start)
            ));
        }
        self.plans.retain(|_, plan| plan.end > now);
        if self.plans.len() >= MAX_PLANS {
            return Outcome::full(format!("{MAX_PLANS} planned changes have not ended yet"));
        }
        self.last_plan += 1;
        let number = self.last_plan;
        let plan = Plan {
            target: request.target.clone(),
            start: request.start,
            end: request.end,
            author: request.author.clone(),
        };
        let event = AuditEvent::Announce {
            target: plan.target.clone(),
            start: plan.start,
            end: plan.end,
        };
        self.plans.insert(number, plan);
        self.record(&request.author, Version(0), event);
        Outcome::Announced(Announced {
            number,
            repeated: false,
        })
    }

    /// Planned changes that have not ended.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// Whether a planned change keeps a host from taking new work at `now`.
    #[must_use]
    pub fn is_draining(&self, kind: api::TargetKind, host: &HostName, now: Millis) -> bool {
        let matches = |plan: &Plan| plan.target.kind == kind && plan.target.host == *host;
        self.plans()
            .any(|plan| matches(plan) && plan.is_active(now))
    }
}
