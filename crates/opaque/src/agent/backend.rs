//! What the backend server reports of itself.
//!
//! Reports may arrive late: one that a partition delayed may come after its
//! sender crashed and another one started at the same address. The number of a
//! report orders those of one start, the time of the start orders the starts.
//!
//! A backend server that starts anew may take flows before its first report
//! comes. The time of its start, by the time of day, tells these from the flows
//! of the start before.

use std::time::Duration;

use derive_more::Display;
use forwarding::Backend;
use thiserror::Error;
use tokio::time::Instant;
use units::{Millis, ServiceName};

/// Number of a first report from which on earlier ones went to another process.
const FIRST_REPORTS: u64 = 2;

/// Most difference between the time of day of the backend server and ours that is allowed for.
const CLOCK_SLACK: Duration = Duration::from_millis(500);

/// Whether the backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum BackendState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Report of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Id; another start may have the same.
    pub id: Box<str>,
    /// Unix time of its start.
    pub started: Millis,
    /// Rises with each report of a start.
    pub number: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// State.
    pub state: BackendState,
}

/// A report that is not of this agent's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReportError {
    /// It runs another service.
    #[error("backend server {id} runs {reported}; this agent serves {expected}")]
    Service {
        /// Id.
        id: Box<str>,
        /// Its service.
        reported: ServiceName,
        /// Service of the settings.
        expected: ServiceName,
    },
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Reported {
    /// Something that others need to know.
    Changed,
    /// Nothing but the time when the backend server was heard.
    Same,
    /// Nothing: it is older than what is known, or names another start.
    Late,
}

#[derive(Debug, Clone)]
struct Known {
    report: BackendReport,
    heard: Instant,
    /// Number of the first report heard of this start.
    first: u64,
    /// Rises with each start that is taken.
    incarnation: u64,
    /// Earliest time of this start.
    started: Instant,
}

/// Newest report of the newest start.
#[derive(Debug)]
pub struct Reports {
    service: ServiceName,
    silence: Duration,
    known: Option<Known>,
    starts: u64,
}

impl Reports {
    /// Nothing heard yet; a backend server counts as lost after `silence` without a report.
    #[must_use]
    pub fn new(service: ServiceName, silence: Duration) -> Self {
        Self {
            service,
            silence,
            known: None,
            starts: 0,
        }
    }

    /// Service of the agent.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Takes a report at a time of day; a late one changes nothing.
    ///
    /// # Errors
    /// When it is of another service.
    pub fn take(
        &mut self,
        now: Instant,
        clock: Millis,
        report: BackendReport,
    ) -> Result<Reported, ReportError> {
        if report.service != self.service {
            return Err(ReportError::Service {
                id: report.id,
                reported: report.service,
                expected: self.service.clone(),
            });
        }
        let before = self.current(now);
        match &mut self.known {
            Some(known) if is_same_start(&known.report, &report) => {
                if report.number <= known.report.number {
                    return Ok(Reported::Late);
                }
                known.report = report;
                known.heard = now;
            }
            Some(known) if is_late(known, &report, now, self.silence) => {
                return Ok(Reported::Late);
            }
            _ => {
                self.starts += 1;
                let age = Duration::from_millis(clock.0.saturating_sub(report.started.0));
                let started = now.checked_sub(age + CLOCK_SLACK);
                // The start before was heard until then; a clock that was set may say otherwise.
                let heard = self.known.as_ref().map(|known| known.heard);
                self.known = Some(Known {
                    started: started.max(heard).unwrap_or(now),
                    first: report.number,
                    heard: now,
                    report,
                    incarnation: self.starts,
                });
            }
        }
        Ok(if before == self.current(now) {
            Reported::Same
        } else {
            Reported::Changed
        })
    }

    /// The backend server left.
    pub fn left(&mut self, id: &str) -> Reported {
        let known = self.known.take_if(|known| *known.report.id == *id);
        if known.is_some() {
            Reported::Changed
        } else {
            Reported::Late
        }
    }

    /// The backend server, unless it was silent for too long.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<Backend> {
        let known = self.known.as_ref()?;
        (now < known.heard + self.silence).then(|| Backend {
            incarnation: known.incarnation,
            started: known.started,
            predates_agent: known.first > FIRST_REPORTS,
            slots: known.report.slots,
            accepting: known.report.state == BackendState::Ready,
        })
    }

    /// When the backend server counts as lost if no report comes.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.known.as_ref().map(|known| known.heard + self.silence)
    }
}

fn is_same_start(a: &BackendReport, b: &BackendReport) -> bool {
    a.id == b.id && a.started == b.started
}

/// Whether a report is of an earlier start. Clocks may jump back, so that a start that looks
/// earlier is taken once the known one has been silent.
fn is_late(known: &Known, report: &BackendReport, now: Instant, silence: Duration) -> bool {
    report.started < known.report.started && now < known.heard + silence
}
