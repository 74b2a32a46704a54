//! Traces over recorded lines.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use quickcheck::quickcheck;
use trace::{Line, Search};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";

/// A line `ms` after a fixed time.
fn line(ms: i64, node: &str, msg: &str, flow: Option<&str>) -> Line {
    let time = chrono::DateTime::from_timestamp_millis(1_800_000_000_000 + ms).unwrap();
    let flow = flow.map_or(String::new(), |flow| format!(r#","flow":"{flow}""#));
    let ts = time.to_rfc3339();
    let text = format!(r#"{{"ts":"{ts}","node":"{node}","program":"p","msg":"{msg}"{flow}}}"#);
    Line::parse(&text).unwrap()
}

fn search(id: &str, around_ms: i64) -> Search {
    Search {
        id: id.into(),
        around_us: around_ms * 1_000,
    }
}

fn messages(search: &Search, lines: &[Line]) -> Vec<Box<str>> {
    let trace = search.run(lines);
    trace
        .found
        .into_iter()
        .map(|found| found.line.msg)
        .collect()
}

/// Guards against a log that can't be read because something prefixes its lines, and against lines
/// of others that end the search.
#[test]
fn prefixes_and_other_lines_are_borne() {
    let text = r#"  26.4696 b-1 {"msg":"refused","level":"WARN","ts":"2026-05-11T06:51:52.5Z","node":"b-1","program":"balancer","flow":"1.2.3.4:5>6.7.8.9:80"}"#;
    let line = Line::parse(text).unwrap();
    assert_eq!((&*line.node, &*line.msg), ("b-1", "refused"));
    assert_eq!(line.flow(), Some("1.2.3.4:5>6.7.8.9:80"));
    for other in [
        "",
        "panicked at",
        "{",
        r#"{"msg":"no time"}"#,
        r#"{"ts":1}"#,
    ] {
        assert_eq!(Line::parse(other), None, "{other:?}");
    }
}

/// Guards against a complaint that can't be matched because the caller's address alone is known.
#[test]
fn ids_match_whole_values_only() {
    let line = line(0, "b-1", "refused", Some(FLOW));
    for id in [
        FLOW,
        "100.64.0.7:40001",
        "198.18.0.1:443",
        "100.64.0.7",
        "b-1",
    ] {
        assert!(line.names(id), "{id}");
    }
    for id in ["100.64.0.7:4000", "100.64.0", "0.64.0.7", "b-"] {
        assert!(!line.names(id), "{id}");
    }
}

/// Guards against a search that shows a flow but not what the processes believed meanwhile, or
/// drowns it in lines of others.
#[test]
fn beliefs_of_the_same_processes_come_along() {
    let lines = [
        line(0, "b-1", "configuration and tables applied", None),
        line(800, "a-1", "member table applied", None),
        line(900, "a-2", "member table applied", None),
        line(1_000, "b-1", "SYN sent", Some(FLOW)),
        line(1_001, "a-1", "reset", Some(FLOW)),
        line(1_001, "a-1", "another flow", Some("1.1.1.1:1>2.2.2.2:2")),
    ];
    let found = messages(&search(FLOW, 500), &lines);
    assert_eq!(
        found,
        ["member table applied", "SYN sent", "reset"].map(Box::from)
    );
    assert_eq!(messages(&search("nobody", 500), &lines), []);
}

/// Guards against an order of events that follows clocks which are seconds apart.
#[test]
fn clocks_are_aligned_by_the_flows_that_both_log() {
    let mut lines = Vec::new();
    for flow in ["1.1.1.1:1>9.9.9.9:9", "1.1.1.1:2>9.9.9.9:9", FLOW] {
        let at = i64::try_from(lines.len()).unwrap() * 100;
        lines.push(line(at, "b-1", "SYN sent", Some(flow)));
        // Its clock is 3 s behind.
        lines.push(line(
            at + 2 - 3_000,
            "a-1",
            "delivered to the backend server",
            Some(flow),
        ));
    }
    let trace = search(FLOW, 0).run(&lines);
    let order: Vec<_> = trace.found.iter().map(|f| &*f.line.msg).collect();
    assert_eq!(
        order.last(),
        Some(&"delivered to the backend server"),
        "{order:?}"
    );
    let corrected: Vec<_> = trace.offsets.corrected().collect();
    assert_eq!(corrected.len(), 1, "{corrected:?}");
    assert!((2_900_000..3_100_000).contains(&corrected[0].1.abs()));
}

/// Guards against clocks that seem seconds apart because a VM logs most flows only long after
/// another, when it is asked for them.
#[test]
fn late_lines_about_a_flow_move_no_clock() {
    let mut lines = Vec::new();
    for port in 0..20 {
        let flow = format!("1.1.1.1:{port}>9.9.9.9:9");
        let at = i64::from(port) * 100;
        lines.push(line(at, "b-1", "SYN sent", Some(&flow)));
        lines.push(line(at + 1_500 + at * 3, "b-1", "searched", Some(&flow)));
        lines.push(line(at + 1_503 + at * 3, "a-1", "passed on", Some(&flow)));
    }
    let trace = search("1.1.1.1:3", 0).run(&lines);
    assert_eq!(trace.offsets.corrected().count(), 0, "{:?}", trace.offsets);
}

/// Guards against a few flows between two VMs that outweigh the many which each shares with a third.
#[test]
fn the_links_that_most_flows_show_are_used_first() {
    let mut lines = Vec::new();
    for port in 0..40 {
        let flow = format!("1.1.1.1:{port}>9.9.9.9:9");
        let at = port * 100;
        lines.push(line(at, "b-1", "SYN sent", Some(&flow)));
        let agent = if port % 2 == 0 { "a-1" } else { "a-2" };
        lines.push(line(at + 2, agent, "passed on", Some(&flow)));
        // The second agent is asked 700 ms later, about a few flows.
        if port % 10 == 0 {
            lines.push(line(at + 702, "a-2", "passed on", Some(&flow)));
        }
    }
    let trace = search("1.1.1.1:0", 0).run(&lines);
    assert_eq!(trace.offsets.corrected().count(), 0, "{:?}", trace.offsets);
}

/// Guards against a flow of a minute that is drowned in what its processes believed all the while.
#[test]
fn beliefs_far_from_any_line_of_the_flow_stay_out() {
    let lines = [
        line(0, "b-1", "SYN sent", Some(FLOW)),
        line(400, "b-1", "configuration and tables applied", None),
        line(30_000, "b-1", "view of noon", None),
        line(59_600, "b-1", "process was not scheduled in time", None),
        line(60_000, "b-1", "owner not known", Some(FLOW)),
    ];
    let found = messages(&search(FLOW, 500), &lines);
    let expected = [
        "SYN sent",
        "configuration and tables applied",
        "process was not scheduled in time",
        "owner not known",
    ];
    assert_eq!(found, expected.map(Box::from));
}

/// Guards against lines of another process on the same VM that drown those about the flow.
#[test]
fn other_programs_of_the_same_vm_stay_out() {
    let mut control = line(900, "b-1", "call not answered here", None);
    control.program = "control".into();
    let lines = [control, line(1_000, "b-1", "SYN sent", Some(FLOW))];
    assert_eq!(messages(&search(FLOW, 500), &lines), ["SYN sent".into()]);
}

quickcheck! {
    /// Guards against a line that ends the search.
    fn any_text_is_borne(text: String, id: String) -> bool {
        if let Some(line) = Line::parse(&text) {
            let _ = line.names(&id);
        }
        true
    }
}
