//! Summarizes and prints the results of the runs.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::workload::RequestClass;

/// Record of one request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub class: usize,
    pub service_time: Duration,
    pub arrival: Duration,
    pub deadline: Duration,
    pub host: usize,
    /// Sibling that the request was relayed to.
    pub relayed: Option<usize>,
    pub started: Option<Duration>,
    pub refused: Option<Duration>,
    /// Time of the complete answer.
    pub end: Option<Duration>,
}

impl RequestRecord {
    /// Whether the request was answered before its deadline.
    fn is_good(&self) -> bool {
        self.end.is_some_and(|end| end <= self.deadline)
    }
}

/// Start and end of the overload in seconds.
const OVERLOAD_S: (f64, f64) = (5.0, 15.0);

/// Width of the intervals in which the recovery is measured, in seconds.
const INTERVAL_S: f64 = 0.1;

/// Results of one overload.
#[derive(Debug, Clone, Copy, Default)]
pub struct Overload {
    /// Slot time of requests that finished in time, in percent of all slot time of the overload.
    useful: f64,
    /// Requests per second that finished in time.
    rate: f64,
    /// Seconds from the end of the overload until the loss is back at its earlier level.
    recovery: f64,
    /// Requests of the overload that did not finish in time, in percent by class.
    lost: [f64; 3],
    /// 99th percentile of the time until a refusal, in ms.
    refusal: f64,
}

impl Overload {
    pub const HEADER: &'static str = "policy             useful%  good/s  recovery s  lost% critical  normal    bulk  refusal ms";

    pub fn new(records: &[RequestRecord], classes: &[RequestClass], slots: f64) -> Self {
        let in_overload =
            |time: Duration| (OVERLOAD_S.0..OVERLOAD_S.1).contains(&time.as_secs_f64());
        // Slot time within the overload of requests that finish in time.
        let overlap = |d: &RequestRecord| match (d.started, d.end) {
            (Some(started), Some(end)) if d.is_good() => {
                let (a, b) = (started.as_secs_f64(), end.as_secs_f64());
                (b.min(OVERLOAD_S.1) - a.max(OVERLOAD_S.0)).max(0.0)
            }
            _ => 0.0,
        };
        let useful: f64 = records.iter().map(overlap).sum();
        let in_time = records
            .iter()
            .filter(|d| d.is_good() && d.end.is_some_and(in_overload));
        let mut lost = [0.0; 3];
        for (class, lost) in lost.iter_mut().enumerate().take(classes.len()) {
            let of = records
                .iter()
                .filter(|d| d.class == class && in_overload(d.arrival));
            let (all, bad) = of.fold((0, 0), |(all, bad), d| {
                (all + 1, bad + usize::from(!d.is_good()))
            });
            *lost = 100.0 * bad as f64 / f64::from(all.max(1));
        }
        Self {
            useful: 100.0 * useful / (slots * (OVERLOAD_S.1 - OVERLOAD_S.0)),
            rate: in_time.count() as f64 / (OVERLOAD_S.1 - OVERLOAD_S.0),
            recovery: recovery(records),
            lost,
            refusal: refusal(records),
        }
    }

    pub fn mean(runs: Vec<Self>) -> Self {
        let count = runs.len() as f64;
        let mean = |value: &dyn Fn(&Self) -> f64| runs.iter().map(value).sum::<f64>() / count;
        Self {
            useful: mean(&|run| run.useful),
            rate: mean(&|run| run.rate),
            // The maximum, since the target holds for each overload.
            recovery: runs.iter().map(|run| run.recovery).fold(0.0, f64::max),
            lost: [0, 1, 2].map(|class| mean(&|run| run.lost[class])),
            refusal: mean(&|run| run.refusal),
        }
    }
}

impl fmt::Display for Overload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [critical, normal, bulk] = self.lost;
        write!(
            f,
            "{:7.1} {:7.0} {:11.1} {:15.1} {:7.1} {:7.1} {:11.0}",
            self.useful, self.rate, self.recovery, critical, normal, bulk, self.refusal
        )
    }
}

/// 99th percentile of the time until a refusal, in ms.
fn refusal(records: &[RequestRecord]) -> f64 {
    let times = records
        .iter()
        .filter_map(|d| d.refused.map(|at| at.saturating_sub(d.arrival)));
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let at = times.len() * 99 / 100;
    times
        .get(at)
        .map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

/// Start of the first five consecutive intervals after the overload in which
/// the loss is at most one percentage point above the loss before it.
fn recovery(records: &[RequestRecord]) -> f64 {
    let loss = |from: f64, to: f64| {
        let of = records
            .iter()
            .filter(|d| (from..to).contains(&d.arrival.as_secs_f64()));
        let (all, bad) = of.fold((0_u32, 0_u32), |(all, bad), d| {
            (all + 1, bad + u32::from(!d.is_good()))
        });
        f64::from(bad) / f64::from(all.max(1))
    };
    let before = loss(1.0, OVERLOAD_S.0);
    for step in 0..95 {
        let from = OVERLOAD_S.1 + f64::from(step) * INTERVAL_S;
        if loss(from, from + 5.0 * INTERVAL_S) <= before + 0.01 {
            return f64::from(step) * INTERVAL_S;
        }
    }
    f64::INFINITY
}

/// Records of two runs that differ only in the stragglers.
pub struct StragglerRuns {
    pub without: Vec<RequestRecord>,
    pub with: Vec<RequestRecord>,
}

/// Results of short requests with and without stragglers.
#[derive(Debug, Clone, Copy)]
pub struct Stragglers {
    /// 99th percentile of the latency without stragglers, in ms.
    without: f64,
    /// 99th percentile of the latency with stragglers, in ms.
    with: f64,
    /// Requests that did not finish in time, in percent.
    lost: f64,
    /// Total service time of long requests that finished in time, in seconds.
    pub long: f64,
}

impl Stragglers {
    pub const HEADER: &'static str =
        "policy             p99 ms without    with   ratio  short lost%  long throughput%";

    pub fn mean(runs: &[StragglerRuns]) -> Self {
        let mut latency = [(); 2].map(|()| {
            Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("valid bounds")
        });
        let (mut short, mut lost, mut long) = (0_u64, 0_u64, 0.0);
        for StragglerRuns { without, with } in runs {
            for (run, latency) in [without, with].into_iter().zip(&mut latency) {
                for record in run.iter().filter(|record| record.class == 0) {
                    // A request that did not finish counts as if it ended at its deadline.
                    let end = record.end.unwrap_or(record.deadline);
                    let time = end.saturating_sub(record.arrival).as_micros();
                    latency.saturating_record(time as u64);
                }
            }
            short += with.iter().filter(|record| record.class == 0).count() as u64;
            lost += with
                .iter()
                .filter(|record| record.class == 0 && !record.is_good())
                .count() as u64;
            long += with
                .iter()
                .filter(|record| record.class > 0 && record.is_good())
                .map(|record| record.service_time.as_secs_f64())
                .sum::<f64>();
        }
        let p99 = |latency: &Histogram<u64>| latency.value_at_quantile(0.99) as f64 / 1_000.0;
        Self {
            without: p99(&latency[0]),
            with: p99(&latency[1]),
            lost: 100.0 * lost as f64 / short.max(1) as f64,
            long,
        }
    }

    /// Formats the results; long throughput is relative to the baseline.
    pub fn line(&self, baseline: f64) -> String {
        format!(
            "{:14.1} {:7.1} {:7.2} {:12.2} {:17.1}",
            self.without,
            self.with,
            self.with / self.without,
            self.lost,
            100.0 * self.long / baseline
        )
    }
}
