//! Burn rates and the report of one service.

use api::{BurnWindow, Counts, ObjectiveReport, ServiceReport};
use profile::{Objective, Profile};
use units::{HostName, Incarnation, Millis, Percent, ServiceId, ServiceName};

use crate::Ledger;

/// Windows in ms: 5 min, 1 h, 6 h, 3 days.
pub const WINDOWS_MS: [u64; 4] = [300_000, 3_600_000, 21_600_000, 259_200_000];

/// Pairs of windows, by index, that need action when both burn at this rate.
const PAIRS: [(usize, usize, f64); 2] = [(0, 1, 14.4), (2, 3, 1.0)];

/// Time in ms without a batch after which an agent is silent.
pub const SILENT_MS: u64 = WINDOWS_MS[0];

/// Time in ms after its start within which an agent need not have sent a batch.
const GRACE_MS: u64 = 60_000;

/// Agent that should report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// Host.
    pub host: HostName,
    /// Start of the agent.
    pub incarnation: Incarnation,
}

/// Report of a service at a time.
#[must_use]
pub fn service_report(
    now: Millis,
    ledger: &Ledger,
    name: &ServiceName,
    service: ServiceId,
    profile: &Profile,
    agents: &[Expected],
) -> ServiceReport {
    let objective = |o: &Objective| objective_report(now, ledger, service, o);
    let mut measured = Vec::new();
    let mut silent = Vec::new();
    for agent in agents {
        let heard = ledger.heard(service, &agent.host, agent.incarnation);
        let list = match heard {
            Some(at) if now.since(at).0 < SILENT_MS => &mut measured,
            None if now.since(Millis(agent.incarnation.0)).0 < GRACE_MS => continue,
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
                rate: rate(&counts, objective.share),
            }
        })
        .collect();
    let burns = |index: usize, limit: f64| {
        let rate = windows.get(index).and_then(|window| window.rate);
        rate.is_some_and(|rate| rate >= limit)
    };
    let alert = PAIRS
        .iter()
        .any(|(short, long, limit)| burns(*short, *limit) && burns(*long, *limit));
    ObjectiveReport {
        class: objective.class.clone(),
        latency_ms: objective.latency_ms,
        share: objective.share,
        windows,
        alert,
    }
}

/// Share of bad requests over the share allowed; `None` without requests.
fn rate(counts: &Counts, share: Percent) -> Option<f64> {
    let all = counts.good.saturating_add(counts.bad);
    // In hundredths, because 1 - 0.99 is not exactly 0.01 and would miss a threshold.
    let allowed = 100.0 - share.value();
    #[expect(
        clippy::cast_precision_loss,
        reason = "counts of three days are far below 2^52"
    )]
    let (bad, all) = (counts.bad as f64, all as f64);
    (all > 0.0 && allowed > 0.0).then(|| 100.0 * bad / (all * allowed))
}
