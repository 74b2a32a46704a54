//! Results of an experiment.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Experiment;
use crate::caller::Outcome;

/// Largest latency recorded in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Requests of one class.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ClassResult {
    /// Class.
    pub name: Box<str>,
    /// Requests that arrived.
    pub offered: u64,
    /// Answered completely.
    pub complete: u64,
    /// Answered completely within the deadline.
    pub useful: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Anything else.
    pub other: u64,
    /// Percentiles of the latency of complete answers in ms: 50, 90, 99, 99.9, 100.
    pub latency_ms: [f64; 5],
}

/// One second of an experiment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered within the deadline, by second of arrival.
    pub useful: u64,
    /// Refused as not run, by second of arrival.
    pub not_run: u64,
    /// Slot time that useful answers took, in ms, by second of arrival.
    pub work_ms: u64,
}

/// Result of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Experiment.
    pub experiment: Experiment,
    /// Requests per second that the slots can do.
    pub capacity: f64,
    /// Classes in the order of the declaration.
    pub classes: Vec<ClassResult>,
    /// Seconds.
    pub seconds: Vec<Second>,
    /// Maximum over mean of the time-averaged busy slots of the hosts.
    pub busy_imbalance: f64,
    /// Requests begun by each host.
    pub begun: Vec<u64>,
    /// Connections that broke.
    pub broken: u64,
}

/// Collects outcomes while an experiment runs.
#[derive(Debug)]
pub(super) struct Collector {
    classes: Vec<(ClassResult, Histogram<u64>)>,
    seconds: Vec<Second>,
    deadlines: Vec<u64>,
}

impl Collector {
    pub(super) fn new(experiment: &Experiment) -> Option<Self> {
        let class = |class: &super::ClassLoad| {
            let result = ClassResult {
                name: class.name.clone(),
                ..ClassResult::default()
            };
            let histogram = Histogram::new_with_max(MAX_MICROS, 3).ok()?;
            Some((result, histogram))
        };
        let seconds = usize::try_from(experiment.seconds).unwrap_or(0);
        Some(Self {
            classes: experiment
                .classes
                .iter()
                .map(class)
                .collect::<Option<_>>()?,
            seconds: vec![Second::default(); seconds],
            deadlines: experiment.classes.iter().map(|c| c.deadline_ms).collect(),
        })
    }

    /// Takes an outcome; `micros` counts from the arrival, not from the sending.
    pub(super) fn add(&mut self, arrival: super::Arrival, outcome: Outcome, micros: u64) {
        let Some((result, histogram)) = self.classes.get_mut(arrival.class) else {
            return;
        };
        let mut unseen = Second::default();
        let at = usize::try_from(arrival.at.as_secs()).unwrap_or(usize::MAX);
        let second = self.seconds.get_mut(at).unwrap_or(&mut unseen);
        result.offered += 1;
        second.offered += 1;
        match outcome {
            Outcome::Complete => {
                result.complete += 1;
                histogram.saturating_record(micros);
                if micros <= self.deadlines[arrival.class] * 1_000 {
                    result.useful += 1;
                    second.useful += 1;
                    second.work_ms += arrival.service_ms;
                }
            }
            Outcome::NotRun => {
                result.not_run += 1;
                second.not_run += 1;
            }
            _ => result.other += 1,
        }
    }

    pub(super) fn finish(self) -> (Vec<ClassResult>, Vec<Second>) {
        let classes = self.classes.into_iter().map(|(mut result, histogram)| {
            let at = |percentile| histogram.value_at_percentile(percentile) as f64 / 1_000.0;
            result.latency_ms = [50.0, 90.0, 99.0, 99.9, 100.0].map(at);
            result
        });
        (classes.collect(), self.seconds)
    }
}
