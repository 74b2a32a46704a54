//! `jacinthsill trace` on files of logs.

use std::path::Path;

use crate::operators::output;

const BALANCER: &str = r#"    0.0925 b-1 {"msg":"SYN sent","level":"INFO","ts":"2026-05-11T06:51:52.500Z","node":"b-1","program":"balancer","flow":"1.2.3.4:5>6.7.8.9:80","to":"10.0.0.1:7"}
panicked at somewhere
"#;

const AGENT: &str = r#"{"msg":"member table applied","level":"INFO","ts":"2026-05-11T06:51:52.100Z","node":"a-1","program":"agent","epoch":3}
{"msg":"delivered to the backend server","level":"INFO","ts":"2026-05-11T06:51:52.501Z","node":"a-1","program":"agent","flow":"1.2.3.4:5>6.7.8.9:80","reason":"free_slot"}
{"msg":"reset","level":"WARN","ts":"2026-05-11T06:51:52.502Z","node":"a-1","program":"agent","flow":"1.2.3.5:5>6.7.8.9:80","reason":"lost"}
"#;

/// Exit code and what the command printed. Logs are read without control.
fn trace(arguments: &[&str]) -> (i32, String) {
    let output = output("127.0.0.1:1", arguments);
    let printed = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8(printed).unwrap(),
    )
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let file = folder.join(name);
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

/// Guards against an engineer who can't get from a caller's address to the decisions about its
/// flow, who is shown other callers' flows, or who takes a missing file or a wrong id for "nothing
/// happened".
#[test]
fn the_lines_about_a_flow_are_merged() {
    let folder = tempfile::tempdir().unwrap();
    let balancer = write(folder.path(), "balancer.log", BALANCER);
    let agent = write(folder.path(), "agent.log", AGENT);
    let missing = folder.path().join("missing.log").display().to_string();

    let (code, text) = trace(&["trace", "1.2.3.4:5", &agent, &balancer]);
    assert_eq!(code, 0, "{text}");
    let at = |part: &str| text.find(part).unwrap_or_else(|| panic!("{part}: {text}"));
    assert!(at("member table applied") < at("SYN sent"), "{text}");
    assert!(at("SYN sent") < at("reason=free_slot"), "{text}");
    assert!(at("1 lines are no records") < at("member table applied"));
    assert!(!text.contains("lost"), "{text}");

    let unknown = ["trace", "9.9.9.9", &agent, &balancer];
    let (code, text) = trace(&unknown);
    assert_eq!((code, text.contains("names 9.9.9.9")), (1, true), "{text}");
    let (code, text) = trace(&["trace", "1.2.3.4", &missing]);
    assert_eq!((code, text.contains("cannot read")), (1, true), "{text}");
    let (code, text) = trace(&["trace", "1.2.3.4"]);
    assert_eq!((code, text.contains("log files")), (2, true), "{text}");
}
