//! Failed starts, the settings check, and graceful shutdown.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use api::{Scope, Watch};

use crate::harness::{Group, block_on, run, watch_request};
use crate::nodes::Operator;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_control"))
}

/// Runs a start that must fail and returns the last line of its standard error.
fn failed_start(group: &Group, flags: &[&str]) -> String {
    let mut command = Command::new(program());
    command
        .arg("--settings")
        .arg(group.settings_path(0))
        .args(flags);
    let output = run(command.current_dir(group.dir.path()));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{text}");
    let last = text.lines().last().unwrap();
    assert!(last.starts_with("control: "), "{text}");
    last.into()
}

/// Guards against a panic, an error over several lines, or a start with a part of the settings
/// when the operator needs to know what to fix.
#[test]
fn failed_start_reports_its_cause_on_one_line() {
    let mut group = Group::start(program(), 1);
    let port = failed_start(&group, &[]);
    let in_use = format!("cannot listen on {}:", group.addresses[0]);
    assert!(port.contains(&in_use), "{port}");
    assert!(port.contains("in use"), "{port}");
    group.kill(0);

    let blocked = group.dir.path().join("blocked");
    std::fs::write(&blocked, "a file, so no folder can be created below it").unwrap();
    group.write_settings(0, |s| s["folder"] = "blocked/data".into());
    let folder = failed_start(&group, &[]);
    assert!(
        folder.contains("cannot write to the data folder blocked/data"),
        "{folder}"
    );

    type SettingsChange = fn(&mut serde_json::Value);
    let cases: [(SettingsChange, &str); 11] = [
        (|s| s["unknown"] = 1.into(), "unknown field `unknown`"),
        (|s| s["listen"] = "localhost".into(), "listen: "),
        (
            |s| s["listen"] = "0.0.0.0:7001".into(),
            "listen: 0.0.0.0:7001 is not an address",
        ),
        (
            |s| s["listen"] = "127.0.0.1:1".into(),
            "use the same address in both",
        ),
        (|s| s["id"] = 9.into(), "replica 9 is not in peers"),
        (|s| s["peers"] = serde_json::json!([]), "0 replicas"),
        (|s| s["folder"] = "".into(), "folder: name a data folder"),
        (
            |s| s["observer"] = true.into(),
            "folder: name a data folder",
        ),
        (
            |s| s["log"] = serde_json::json!({ "level": "loud" }),
            "log.level: \"loud\"",
        ),
        (
            |s| s["host"] = "Upper".into(),
            "host name \"Upper\" is not valid",
        ),
        (
            |s| s["key_file"] = "none.hex".into(),
            "cannot read the key file none.hex",
        ),
    ];
    for (change, message) in cases {
        group.write_settings(0, change);
        for flags in [&["--check"][..], &[]] {
            let text = failed_start(&group, flags);
            assert!(text.contains(message), "{text}");
        }
    }
    std::fs::write(group.settings_path(0), "{\n  // a comment\n  \"id\": }").unwrap();
    let text = failed_start(&group, &["--check"]);
    assert!(text.contains("control-1.jsonc:3:"), "{text}");
}

/// Guards against a check that fails for valid settings, or that starts a replica, for which the
/// port would be in use.
#[test]
fn check_flag_accepts_valid_settings() {
    let group = Group::start(program(), 1);
    let mut command = Command::new(program());
    command
        .arg("--settings")
        .arg(group.settings_path(0))
        .arg("--check");
    let output = run(command.current_dir(group.dir.path()));
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a graceful stop that waits for the long polls of every node.
#[test]
fn graceful_stop_ends_long_polls() {
    let mut group = Group::start(program(), 1);
    block_on(Operator::new(&group, 0).declare());
    let (client, peer) = (group.client(), group.addresses[0]);
    let waiting = std::thread::spawn(move || {
        block_on(async {
            let request = Watch {
                scope: Scope::Region(9.into()),
                ..watch_request(2, 10_000)
            };
            let limit = Duration::from_secs(10);
            client
                .post::<_, api::WatchReply>(peer, api::path::WATCH, &request, limit)
                .await
        })
    });
    std::thread::sleep(Duration::from_millis(300));
    assert!(!waiting.is_finished());
    let elapsed = group.stop(0);
    assert!(elapsed < Duration::from_secs(3), "{elapsed:?}");
    assert!(waiting.join().unwrap().is_err());
}
