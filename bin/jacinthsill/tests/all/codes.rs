//! Exit codes and output.

use crate::harness::Group;
use crate::operators::{control, declarations, jacinthsill, output};

/// Guards against scripts that can't tell success, failure, invalid input,
/// conflicts, differences and an unreachable control apart.
#[test]
fn each_exit_code_has_its_cause() {
    let group = Group::start(&control(), 1);
    let address = group.addresses[0].to_string();
    let one = declarations(&group, "one", 1);
    let two = declarations(&group, "two", 2);
    let broken = declarations(&group, "broken", 3_600_001);
    let empty = group.dir.path().join("empty");
    std::fs::create_dir(&empty).unwrap();
    let empty = empty.display().to_string();
    let (start, end) = ("2020-01-01T00:00:00Z", "2020-01-02T00:00:00Z");
    let past = ["announce", "balancer", "b", "--start", start, "--end", end];
    let settings = format!("agent={}/missing.conf", group.dir.path().display());
    let cases: [(&[&str], i32, &str); 30] = [
        (&["check", &one], 0, "1 profiles and 1 services are valid"),
        (&["check", &broken], 2, "all.jsonc:2:"),
        (&["check", &empty], 2, "holds no *.jsonc file"),
        (&["check"], 2, "name a folder"),
        (&["check", "--settings", "agent"], 2, "is not balancer=FILE"),
        (&["check", "--settings", &settings], 2, "missing.conf"),
        (
            &["check", "--configuration", "missing.json"],
            2,
            "missing.json",
        ),
        (&["plan", &one], 4, "create service s"),
        (&["list"], 0, ""),
        (&["apply", &broken], 2, "warmup_ms"),
        (&["apply", &one, "--wait", "10"], 0, "in force everywhere"),
        (&["plan", &one], 0, "no differences"),
        (&["plan", &two], 4, "warmup_ms: 1 -> 2"),
        (&["apply", &two], 0, "version 3"),
        (&["get", "profile", "p"], 0, "\"warmup_ms\": 2"),
        (&["get", "profile", "q"], 1, "profile q does not exist"),
        (&["get", "thing", "q"], 2, "not profile, service or route"),
        (&["list"], 0, "10.0.0.1:80 profile p"),
        (&["retire", "profile", "p"], 2, "in use by service s"),
        (
            &["retire", "service", "s", "--expected", "1"],
            3,
            "ann made version 2",
        ),
        (
            &["retire", "service", "s", "--wait", "10"],
            0,
            "in force everywhere",
        ),
        (
            &["retire", "service", "s", "--expected", "2"],
            3,
            "retired by ann",
        ),
        (&["retire", "service", "s"], 1, "service s does not exist"),
        (
            &[
                "announce", "balancer", "b", "--start", "now", "--end", "+1m",
            ],
            0,
            "planned change 1",
        ),
        (
            &[
                "announce", "balancer", "b", "--start", "soon", "--end", "+1m",
            ],
            2,
            "not a time",
        ),
        (&past, 2, "has no time left"),
        (&["status"], 0, "leader"),
        (&["report"], 0, "retired service s"),
        (&["audit"], 0, "announced balancer b"),
        (
            &["list", "--timeout", "0"],
            2,
            "--timeout 0 is out of range",
        ),
    ];
    for (arguments, code, text) in cases {
        let output = output(&address, arguments);
        let shown = [output.stdout, output.stderr].concat();
        let shown = String::from_utf8(shown).unwrap();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {shown}");
        assert!(shown.contains(text), "{arguments:?}: {shown}");
    }
    let nobody = ports::free().to_string();
    let (code, _) = jacinthsill(&nobody, &["--timeout", "1", "list"]);
    assert_eq!(code, 5);
    assert_eq!(jacinthsill("nowhere", &["list"]).0, 2);
}

/// Guards against declarations that disappear because a file is missing from a folder.
#[test]
fn apply_retires_only_when_told() {
    let group = Group::start(&control(), 1);
    let address = group.addresses[0].to_string();
    let folder = declarations(&group, "one", 1);
    assert_eq!(jacinthsill(&address, &["apply", &folder]).0, 0);
    let file = group.dir.path().join("one/all.jsonc");
    std::fs::write(file, r#"{ "profiles": [{ "name": "p", "warmup_ms": 1 }] }"#).unwrap();
    let (code, text) = jacinthsill(&address, &["apply", &folder]);
    assert_eq!(code, 0);
    assert!(
        text.contains("service s is not in the folder and stays"),
        "{text}"
    );
    assert_eq!(jacinthsill(&address, &["get", "service", "s"]).0, 0);
    assert_eq!(jacinthsill(&address, &["plan", &folder, "--retire"]).0, 4);
    assert_eq!(jacinthsill(&address, &["apply", &folder, "--retire"]).0, 0);
    assert_eq!(jacinthsill(&address, &["get", "service", "s"]).0, 1);
}

/// Guards against output that programs can't read, also when a command fails.
#[test]
fn json_output_is_json() {
    let group = Group::start(&control(), 1);
    let address = group.addresses[0].to_string();
    let folder = declarations(&group, "one", 1);
    let broken = declarations(&group, "broken", 3_600_001);
    let cases: [(&[&str], &str); 10] = [
        (&["check", &folder], "services"),
        (&["check", &broken], "error"),
        (&["plan", &folder], ""),
        (&["apply", &folder], "applied"),
        (&["apply", &folder, "--wait", "10"], "in_force"),
        (&["get", "service", "s"], "version"),
        (&["get", "service", "t"], "error"),
        (&["list"], ""),
        (&["status"], "replicas"),
        (&["report"], "services"),
    ];
    for (arguments, field) in cases {
        let arguments = [arguments, &["--output", "json"]].concat();
        let (_, text) = jacinthsill(&address, &arguments);
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        let found = value.is_array() || value.get(field).is_some();
        assert!(found, "{arguments:?}: {text}");
    }
}

/// Guards against a count of services that includes the routes.
#[test]
fn routes_are_counted_apart_from_services() {
    let dir = tempfile::tempdir().unwrap();
    let text = r#"{
        "profiles": [{ "name": "p", "protocol": "opaque" }],
        "services": [{ "name": "s", "tenant": "t", "profile": "p" }],
        "routes": [
            { "name": "one", "address": "10.0.0.1:80", "targets": [{ "service": "s", "weight": 1 }],
              "idempotent": true, "deadline_ms": 500, "latency_ms": 100 },
            { "name": "two", "address": "10.0.0.2:80", "targets": [{ "service": "s", "weight": 1 }],
              "idempotent": true, "deadline_ms": 500, "latency_ms": 100 }
        ]
    }"#;
    std::fs::write(dir.path().join("all.jsonc"), text).unwrap();
    let folder = dir.path().display().to_string();
    let checked = output("127.0.0.1:1", &["check", &folder, "--output", "json"]);
    assert!(checked.status.success(), "{checked:?}");
    let counted: serde_json::Value = serde_json::from_slice(&checked.stdout).unwrap();
    assert_eq!(counted["services"], 1);
    assert_eq!(counted["routes"], 2);
}
