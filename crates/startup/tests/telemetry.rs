//! Budget of log lines, and metrics as text.

use std::time::Duration;

use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient};
use quickcheck::quickcheck;
use startup::{Budget, Page, Rank};
use tokio::time::Instant;

/// Guards against logs that grow with the load: a burst, then the rate, and nothing lost unseen.
#[test]
fn a_flood_is_cut_to_the_rate() {
    let start = Instant::now();
    let mut budget = Budget::new(10, start);
    let written = |budget: &mut Budget, at| {
        let lines = (0..1_000).filter(|_| budget.take(Rank::Unusual, at));
        lines.count()
    };
    assert_eq!(written(&mut budget, start), 40);
    assert_eq!(budget.omitted(), 960);
    assert_eq!(budget.omitted(), 0);
    let later = start + Duration::from_millis(500);
    assert_eq!(written(&mut budget, later), 5);
    // A long rest fills it up to a burst and no further.
    assert_eq!(written(&mut budget, later + Duration::from_secs(3_600)), 40);
}

/// Guards against a budget of zero that writes or divides by it.
#[test]
fn no_rate_means_no_lines() {
    let start = Instant::now();
    let mut budget = Budget::new(0, start);
    assert!(!budget.take(Rank::Unusual, start + Duration::from_secs(9)));
    assert_eq!(budget.omitted(), 1);
}

/// Guards against a reset or refusal that is left out because flows that went well filled the log.
#[test]
fn usual_lines_leave_room_for_unusual_ones() {
    let start = Instant::now();
    let mut budget = Budget::new(10, start);
    let usual = (0..1_000)
        .filter(|_| budget.take(Rank::Usual, start))
        .count();
    assert_eq!(usual, 20);
    let unusual = (0..1_000)
        .filter(|_| budget.take(Rank::Unusual, start))
        .count();
    assert_eq!(unusual, 20);
    assert_eq!(budget.omitted(), 1_960);
}

fn client(page: &Page) -> StatsdClient {
    StatsdClient::from_sink("jacinthsill.agent", page.clone())
}

/// Guards against values that are lost, replaced where they should add up, or added where they
/// should be replaced.
#[test]
fn metrics_are_summed_up() {
    let page = Page::default();
    let metrics = client(&page);
    metrics.count("passed.no_candidate", 3_u64).unwrap();
    metrics.count("passed.no_candidate", 4_u64).unwrap();
    metrics.gauge("busy", 9_u64).unwrap();
    metrics.gauge("busy", 2_u64).unwrap();
    for ms in [0, 1, 15, 900, 20_000] {
        metrics.time("request", Duration::from_millis(ms)).unwrap();
    }
    let text = page.text();
    for line in [
        "# TYPE jacinthsill_agent_passed_no_candidate_total counter",
        "jacinthsill_agent_passed_no_candidate_total 7",
        "jacinthsill_agent_busy 2",
        "jacinthsill_agent_request_seconds_bucket{le=\"0.001\"} 2",
        "jacinthsill_agent_request_seconds_bucket{le=\"0.02\"} 3",
        "jacinthsill_agent_request_seconds_bucket{le=\"1\"} 4",
        "jacinthsill_agent_request_seconds_bucket{le=\"10\"} 4",
        "jacinthsill_agent_request_seconds_bucket{le=\"+Inf\"} 5",
        "jacinthsill_agent_request_seconds_count 5",
    ] {
        assert!(text.lines().any(|l| l == line), "{line:?} not in\n{text}");
    }
}

quickcheck! {
    /// Guards against a metric that ends the process or is taken for another one.
    fn odd_metrics_are_refused(metric: String) -> bool {
        let page = Page::default();
        page.emit(&metric).is_ok() || page.text().is_empty()
    }
}
