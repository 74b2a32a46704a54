//! Figures of the runs.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::Kind;

/// One request at the end of a run.
#[derive(Debug, Clone)]
pub struct Done {
    pub class: usize,
    pub service: Duration,
    pub arrival: Duration,
    pub deadline: Duration,
    pub host: usize,
    /// Sibling that it was handed to.
    pub relayed: Option<usize>,
    pub begun: Option<Duration>,
    pub refused: Option<Duration>,
    /// End of a complete answer.
    pub end: Option<Duration>,
}

impl Done {
    fn is_good(&self) -> bool {
        self.end.is_some_and(|end| end <= self.deadline)
    }
}

/// Start and end of the overload in seconds.
const PEAK: (f64, f64) = (5.0, 15.0);

/// Width of the intervals of the recovery in seconds.
const INTERVAL: f64 = 0.1;

/// Figures of one overload.
#[derive(Debug, Clone, Copy, Default)]
pub struct Overload {
    /// Slot time of requests that finished in time, over all slot time of the peak.
    useful: f64,
    /// Requests per second that finished in time.
    rate: f64,
    /// Seconds from the end of the peak until requests finish as before it.
    recovery: f64,
    /// Requests of the peak that did not finish in time, by class.
    lost: [f64; 3],
    /// 99th percentile of the time until a refusal, in ms.
    refusal: f64,
}

impl Overload {
    pub const HEADER: &'static str = "policy             useful%  good/s  recovery s  lost% critical  normal    bulk  refusal ms";

    pub fn new(done: &[Done], kinds: &[Kind], slots: f64) -> Self {
        let peak = |time: Duration| (PEAK.0..PEAK.1).contains(&time.as_secs_f64());
        // Slot time within the peak, of requests that were of use in the end.
        let overlap = |d: &Done| match (d.begun, d.end) {
            (Some(begun), Some(end)) if d.is_good() => {
                let (a, b) = (begun.as_secs_f64(), end.as_secs_f64());
                (b.min(PEAK.1) - a.max(PEAK.0)).max(0.0)
            }
            _ => 0.0,
        };
        let useful: f64 = done.iter().map(overlap).sum();
        let in_time = done
            .iter()
            .filter(|d| d.is_good() && d.end.is_some_and(peak));
        let mut lost = [0.0; 3];
        for (class, lost) in lost.iter_mut().enumerate().take(kinds.len()) {
            let of = done.iter().filter(|d| d.class == class && peak(d.arrival));
            let (all, bad) = of.fold((0, 0), |(all, bad), d| {
                (all + 1, bad + usize::from(!d.is_good()))
            });
            *lost = 100.0 * bad as f64 / f64::from(all.max(1));
        }
        Self {
            useful: 100.0 * useful / (slots * (PEAK.1 - PEAK.0)),
            rate: in_time.count() as f64 / (PEAK.1 - PEAK.0),
            recovery: recovery(done),
            lost,
            refusal: refusal(done),
        }
    }

    pub fn mean(runs: Vec<Self>) -> Self {
        let count = runs.len() as f64;
        let mean = |value: &dyn Fn(&Self) -> f64| runs.iter().map(value).sum::<f64>() / count;
        Self {
            useful: mean(&|run| run.useful),
            rate: mean(&|run| run.rate),
            // The worst one: the target holds for each peak.
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

/// 99th percentile of the time until a refusal.
fn refusal(done: &[Done]) -> f64 {
    let times = done
        .iter()
        .filter_map(|d| d.refused.map(|at| at.saturating_sub(d.arrival)));
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let at = times.len() * 99 / 100;
    times
        .get(at)
        .map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

/// Start of the first five intervals in a row after the peak in which the
/// loss is at most what it was before the peak, plus one percent point.
fn recovery(done: &[Done]) -> f64 {
    let loss = |from: f64, to: f64| {
        let of = done
            .iter()
            .filter(|d| (from..to).contains(&d.arrival.as_secs_f64()));
        let (all, bad) = of.fold((0_u32, 0_u32), |(all, bad), d| {
            (all + 1, bad + u32::from(!d.is_good()))
        });
        f64::from(bad) / f64::from(all.max(1))
    };
    let before = loss(1.0, PEAK.0);
    for step in 0..95 {
        let from = PEAK.1 + f64::from(step) * INTERVAL;
        if loss(from, from + 5.0 * INTERVAL) <= before + 0.01 {
            return f64::from(step) * INTERVAL;
        }
    }
    f64::INFINITY
}

/// Figures of short work with and without stragglers.
#[derive(Debug, Clone, Copy)]
pub struct Stragglers {
    without: f64,
    with: f64,
    lost: f64,
    /// Long slot time finished per second.
    pub long: f64,
}

impl Stragglers {
    pub const HEADER: &'static str =
        "policy             p99 ms without    with   ratio  short lost%  long throughput%";

    pub fn mean(runs: Vec<(Vec<Done>, Vec<Done>)>) -> Self {
        let mut latency = [(); 2].map(|()| {
            Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("valid bounds")
        });
        let (mut short, mut lost, mut long) = (0_u64, 0_u64, 0.0);
        for (without, with) in &runs {
            for (run, latency) in [without, with].into_iter().zip(&mut latency) {
                for done in run.iter().filter(|done| done.class == 0) {
                    // A request that did not finish counts with its deadline.
                    let end = done.end.unwrap_or(done.deadline);
                    let time = end.saturating_sub(done.arrival).as_micros();
                    latency.saturating_record(time as u64);
                }
            }
            short += with.iter().filter(|done| done.class == 0).count() as u64;
            lost += with
                .iter()
                .filter(|done| done.class == 0 && !done.is_good())
                .count() as u64;
            long += with
                .iter()
                .filter(|done| done.class > 0 && done.is_good())
                .map(|done| done.service.as_secs_f64())
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

    /// The figures, long throughput relative to the baseline's.
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
