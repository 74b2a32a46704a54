//! Burn rates and the burn report of a service.

use api::{BurnWindow, Counts, ObjectiveReport, ServiceReport};
use profile::{Objective, Profile};
use units::{HostName, Incarnation, Millis, Percent, ServiceId, ServiceName};

use crate::Ledger;

/// Windows of the burn rate: 5 min, 1 h, 6 h and 3 days.
pub const WINDOWS_MS: [u64; 4] = [300_000, 3_600_000, 21_600_000, 259_200_000];

/// Alert rules: the indices of a short and a long window, and the burn rate at which both raise an
/// alert.
const ALERT_RULES: [(usize, usize, f64); 2] = [(0, 1, 14.4), (2, 3, 1.0)];

/// Time without a batch after which an agent is listed as silent.
pub const REPORT_TIMEOUT_MS: u64 = WINDOWS_MS[0];

/// Time after its start within which an agent is not expected to have sent a batch.
const STARTUP_GRACE_MS: u64 = 60_000;

/// Agent that is expected to send batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedAgent {
    /// Host of the agent.
    pub host: HostName,
    /// Incarnation of the agent, its start in Unix ms.
    pub incarnation: Incarnation,
}

/// Builds the report of a service at the time `now`.
#[must_use]
pub fn service_report(
    now: Millis,
    ledger: &Ledger,
    name: &ServiceName,
    service: ServiceId,
    profile: &Profile,
    agents: &[ExpectedAgent],
) -> ServiceReport {
    let objective = |o: &Objective| objective_report(now, ledger, service, o);
    let mut measured = Vec::new();
    let mut silent = Vec::new();
    for agent in agents {
        let last_received = ledger.last_received(service, &agent.host, agent.incarnation);
        let list = match last_received {
            Some(received_at) if now.since(received_at).0 < REPORT_TIMEOUT_MS => &mut measured,
            None if now.since(Millis(agent.incarnation.0)).0 < STARTUP_GRACE_MS => continue,
            _ => &mut silent,
        };
        if !list.contains(&agent.host) {
            list.push(agent.host.clone());
        }
    }
    ServiceReport {
        service: name.clone(),
        objectives: profile.objectives.iter().map(objective).collect(),
        counts: ledger.total(now, service, Millis(WINDOWS_MS[3])),
        measured,
        silent,
    }
}

fn objective_report(
    now: Millis,
    ledger: &Ledger,
    service: ServiceId,
    objective: &Objective,
) -> ObjectiveReport {
    let windows: Vec<_> = WINDOWS_MS
        .iter()
        .map(|length| {
            let window_ms = Millis(*length);
            let counts = ledger.sum(now, service, Some(&objective.class), window_ms);
            BurnWindow {
                window_ms,
                counts,
                rate: burn_rate(&counts, objective.share),
            }
        })
        .collect();
    let reaches = |index: usize, limit: f64| {
        let rate = windows.get(index).and_then(|window| window.rate);
        rate.is_some_and(|rate| rate >= limit)
    };
    let alert = ALERT_RULES
        .iter()
        .any(|(short, long, limit)| reaches(*short, *limit) && reaches(*long, *limit));
    ObjectiveReport {
        class: objective.class.clone(),
        latency_ms: objective.latency_ms,
        share: objective.share,
        windows,
        alert,
    }
}

/// Burn rate: the share of bad requests divided by the allowed share; `None` without requests.
fn burn_rate(counts: &Counts, share: Percent) -> Option<f64> {
    let all = counts.good.saturating_add(counts.bad);
    // In percent, because 1 - 0.99 is not exactly 0.01 and the rate would miss a threshold.
    let allowed = 100.0 - share.value();
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of three days are far below 2^52"
    )]
    let (bad, all) = (counts.bad as f64, all as f64);
    (all > 0.0 && allowed > 0.0).then(|| 100.0 * bad / (all * allowed))
}
