//! Tracks the state of the backend server by its reports.
//!
//! Reports may arrive late: a partition may delay one until its sender has
//! crashed and another backend server has started at the same address. Sequence
//! numbers order the reports of one incarnation; start times order incarnations.
//!
//! A restarted backend server may accept flows before its first report arrives.
//! Its start time by the system clock separates these flows from those of the
//! previous incarnation.
//!
//! Nothing in a first report shows that the backend server started after this
//! agent: its earlier reports may have gone to another agent process, or got
//! lost, and clocks may be set. Only an incarnation that follows another one
//! that reported to this agent did.

use std::time::Duration;

use derive_more::Display;
use forwarding::Backend;
use thiserror::Error;
use tokio::time::Instant;
use units::{Millis, ServiceName};

/// Tolerated difference between the system clocks of the backend server and this agent.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// Whether the backend server accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum BackendState {
    /// It accepts new flows.
    Ready,
    /// It accepts no new flows and is about to leave.
    Draining,
}

/// Report of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Id; incarnations may share one.
    pub id: Box<str>,
    /// Unix time of its start.
    pub started: Millis,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Requests that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts new flows.
    pub state: BackendState,
}

/// Error for a report that isn't from this agent's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The backend server runs another service.
    #[error("backend server {id} runs {reported}; this agent serves {expected}")]
    Service {
        /// Id of the backend server.
        id: Box<str>,
        /// Service in the report.
        reported: ServiceName,
        /// Service in the agent's settings.
        expected: ServiceName,
    },
}

/// Effect of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum ReportOutcome {
    /// The state changed; control has to be told.
    Changed,
    /// Only the time of the last report changed.
    Same,
    /// None: the report is older than the known one or is of another incarnation.
    Late,
}

#[derive(Debug, Clone)]
struct KnownBackend {
    report: BackendReport,
    last_report: Instant,
    /// Whether this agent received reports of the incarnation before, which had to end first.
    succeeds_reported: bool,
    /// Increases with each incarnation.
    incarnation: u64,
    /// Earliest possible time of its start.
    started: Instant,
}

/// Keeps the newest report of the newest incarnation.
#[derive(Debug)]
pub struct BackendTracker {
    service: ServiceName,
    report_timeout: Duration,
    known: Option<KnownBackend>,
    incarnations: u64,
}

impl BackendTracker {
    /// Creates a tracker without a backend server; one counts as lost after `report_timeout` without a
    /// report.
    #[must_use]
    pub fn new(service: ServiceName, report_timeout: Duration) -> Self {
        Self {
            service,
            report_timeout,
            known: None,
            incarnations: 0,
        }
    }

    /// Service of the agent.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Records a report received at `now`, which is `unix_time` by the system clock; a late report
    /// changes nothing.
    ///
    /// # Errors
    /// If the report is of another service.
    pub fn record(
        &mut self,
        now: Instant,
        unix_time: Millis,
        report: BackendReport,
    ) -> Result<ReportOutcome, ReportError> {
        if report.service != self.service {
            return Err(ReportError::Service {
                id: report.id,
                reported: report.service,
                expected: self.service.clone(),
            });
        }
        let previous = self.current(now);
        match &mut self.known {
            Some(known) if is_same_incarnation(&known.report, &report) => {
                if report.sequence <= known.report.sequence {
                    return Ok(ReportOutcome::Late);
                }
                known.report = report;
                known.last_report = now;
            }
            Some(known) if is_late(known, &report, now, self.report_timeout) => {
                return Ok(ReportOutcome::Late);
            }
            _ => {
                self.incarnations += 1;
                let age = Duration::from_millis(unix_time.0.saturating_sub(report.started.0));
                let started = now.checked_sub(age + CLOCK_TOLERANCE);
                // The new incarnation can't have started before the last report of the previous
                // one, even if a clock change makes it look older.
                let last_report = self.known.as_ref().map(|known| known.last_report);
                self.known = Some(KnownBackend {
                    started: started.max(last_report).unwrap_or(now),
                    succeeds_reported: last_report.is_some(),
                    last_report: now,
                    report,
                    incarnation: self.incarnations,
                });
            }
        }
        Ok(if previous == self.current(now) {
            ReportOutcome::Same
        } else {
            ReportOutcome::Changed
        })
    }

    /// Removes the backend server after it announced that it leaves; does nothing if another one is
    /// known.
    pub fn remove(&mut self, id: &str) -> ReportOutcome {
        let removed = self.known.take_if(|known| *known.report.id == *id);
        if removed.is_some() {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Late
        }
    }

    /// Returns the backend server, unless its last report timed out.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<Backend> {
        let known = self.known.as_ref()?;
        (now < known.last_report + self.report_timeout).then(|| Backend {
            incarnation: known.incarnation,
            started: known.started,
            predates_agent: !known.succeeds_reported,
            slots: known.report.slots,
            accepting: known.report.state == BackendState::Ready,
        })
    }

    /// Whether a backend server reported here and has ended since: it left, or its reports stopped. One
    /// that is about to leave still has its flows, and one that never reported here may have some.
    #[must_use]
    pub fn has_ended(&self, now: Instant) -> bool {
        self.incarnations > 0 && self.current(now).is_none()
    }

    /// Time at which the backend server counts as lost unless another report arrives.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.known
            .as_ref()
            .map(|known| known.last_report + self.report_timeout)
    }
}

fn is_same_incarnation(a: &BackendReport, b: &BackendReport) -> bool {
    a.id == b.id && a.started == b.started
}

/// Whether a report is of an earlier incarnation. A clock may have been set back, so an incarnation
/// that looks earlier is accepted once the reports of the known one have timed out.
fn is_late(
    known: &KnownBackend,
    report: &BackendReport,
    now: Instant,
    report_timeout: Duration,
) -> bool {
    report.started < known.report.started && now < known.last_report + report_timeout
}
