//! Searches in recorded log lines.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use quickcheck::quickcheck;
use trace::{Line, Search};

const FLOW: &str = "100.64.0.7:40001>198.18.0.1:443";

/// Creates a line `ms` after a fixed time.
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

/// Guards against log lines that are not parsed because of a prefix, and against foreign lines that
/// abort the search.
#[test]
fn prefixes_and_foreign_lines_are_tolerated() {
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

/// Guards against a search that finds nothing when only the caller's address is known.
#[test]
fn ids_match_complete_values_only() {
    let line = line(0, "b-1", "refused", Some(FLOW));
    for id in [
        FLOW,
        "100.64.0.7:40001",
        "198.18.0.1:443",
        "100.64.0.7",
        "b-1",
    ] {
        assert!(line.mentions(id), "{id}");
    }
    for id in ["100.64.0.7:4000", "100.64.0", "0.64.0.7", "b-"] {
        assert!(!line.mentions(id), "{id}");
    }
}

/// Guards against a result without the state of the processes involved, or with lines of unrelated
/// processes and flows.
#[test]
fn state_lines_of_the_same_processes_are_included() {
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

/// Guards against a wrong order of events when clocks differ by seconds.
#[test]
fn clocks_are_aligned_by_the_flows_that_both_log() {
    let mut lines = Vec::new();
    for flow in ["1.1.1.1:1>9.9.9.9:9", "1.1.1.1:2>9.9.9.9:9", FLOW] {
        let sent_ms = i64::try_from(lines.len()).unwrap() * 100;
        lines.push(line(sent_ms, "b-1", "SYN sent", Some(flow)));
        // The clock of the agent is 3 s behind.
        lines.push(line(
            sent_ms + 2 - 3_000,
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

/// Guards against correcting a clock because a VM logs most flows long after another VM, when it
/// receives a lookup for them.
#[test]
fn late_lines_about_a_flow_do_not_correct_clocks() {
    let mut lines = Vec::new();
    for port in 0..20 {
        let flow = format!("1.1.1.1:{port}>9.9.9.9:9");
        let sent_ms = i64::from(port) * 100;
        lines.push(line(sent_ms, "b-1", "SYN sent", Some(&flow)));
        lines.push(line(
            sent_ms + 1_500 + sent_ms * 3,
            "b-1",
            "searched",
            Some(&flow),
        ));
        lines.push(line(
            sent_ms + 1_503 + sent_ms * 3,
            "a-1",
            "passed on",
            Some(&flow),
        ));
    }
    let trace = search("1.1.1.1:3", 0).run(&lines);
    assert_eq!(trace.offsets.corrected().count(), 0, "{:?}", trace.offsets);
}

/// Guards against preferring a link of few flows between two VMs over their links of many flows to a
/// third VM.
#[test]
fn links_with_the_most_flows_are_used_first() {
    let mut lines = Vec::new();
    for port in 0..40 {
        let flow = format!("1.1.1.1:{port}>9.9.9.9:9");
        let sent_ms = port * 100;
        lines.push(line(sent_ms, "b-1", "SYN sent", Some(&flow)));
        let agent = if port % 2 == 0 { "a-1" } else { "a-2" };
        lines.push(line(sent_ms + 2, agent, "passed on", Some(&flow)));
        // The second agent receives a lookup for a few flows 700 ms later.
        if port % 10 == 0 {
            lines.push(line(sent_ms + 702, "a-2", "passed on", Some(&flow)));
        }
    }
    let trace = search("1.1.1.1:0", 0).run(&lines);
    assert_eq!(trace.offsets.corrected().count(), 0, "{:?}", trace.offsets);
}

/// Guards against including all state lines during a flow that lasts for a minute.
#[test]
fn state_lines_far_from_the_lines_of_the_flow_are_excluded() {
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

/// Guards against including lines of another program on the same VM.
#[test]
fn other_programs_of_the_same_vm_are_excluded() {
    let mut control = line(900, "b-1", "call not answered here", None);
    control.program = "control".into();
    let lines = [control, line(1_000, "b-1", "SYN sent", Some(FLOW))];
    assert_eq!(messages(&search(FLOW, 500), &lines), ["SYN sent".into()]);
}

quickcheck! {
    /// Guards against a line that causes a panic.
    fn any_text_is_tolerated(text: String, id: String) -> bool {
        if let Some(line) = Line::parse(&text) {
            let _ = line.mentions(&id);
        }
        true
    }
}
