//! Rate limit of log lines, and metrics in the Prometheus text format.

use std::time::Duration;

use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient};
use quickcheck::quickcheck;
use startup::{LineBudget, LinePriority, MetricsPage};
use tokio::time::Instant;

/// Guards against logs that grow with the load: a burst and then the rate are written, and every
/// omitted line is counted.
#[test]
fn lines_are_limited_to_the_rate() {
    let start = Instant::now();
    let mut budget = LineBudget::new(10, start);
    let written = |budget: &mut LineBudget, at| {
        let lines = (0..1_000).filter(|_| budget.try_take(LinePriority::High, at));
        lines.count()
    };
    assert_eq!(written(&mut budget, start), 40);
    assert_eq!(budget.take_omitted(), 960);
    assert_eq!(budget.take_omitted(), 0);
    let later = start + Duration::from_millis(500);
    assert_eq!(written(&mut budget, later), 5);
    // A long idle time refills the budget to one burst at most.
    assert_eq!(written(&mut budget, later + Duration::from_secs(3_600)), 40);
}

/// Guards against a rate of zero that allows lines or causes a division by zero.
#[test]
fn zero_rate_allows_no_lines() {
    let start = Instant::now();
    let mut budget = LineBudget::new(0, start);
    assert!(!budget.try_take(LinePriority::High, start + Duration::from_secs(9)));
    assert_eq!(budget.take_omitted(), 1);
}

/// Guards against a reset or rejection that is omitted because lines about successful flows used up
/// the budget.
#[test]
fn low_priority_lines_leave_budget_for_high_priority_lines() {
    let start = Instant::now();
    let mut budget = LineBudget::new(10, start);
    let low = (0..1_000)
        .filter(|_| budget.try_take(LinePriority::Low, start))
        .count();
    assert_eq!(low, 20);
    let high = (0..1_000)
        .filter(|_| budget.try_take(LinePriority::High, start))
        .count();
    assert_eq!(high, 20);
    assert_eq!(budget.take_omitted(), 1_960);
}

fn client(page: &MetricsPage) -> StatsdClient {
    StatsdClient::from_sink("jacinthsill.agent", page.clone())
}

/// Guards against values that are lost, counters that are replaced and gauges that are added up.
#[test]
fn metrics_are_aggregated() {
    let page = MetricsPage::default();
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
    /// Guards against a malformed metric that causes a panic or is recorded as another one.
    fn malformed_metrics_are_rejected(metric: String) -> bool {
        let page = MetricsPage::default();
        page.emit(&metric).is_ok() || page.text().is_empty()
    }
}
