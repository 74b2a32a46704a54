//! Starts that must fail with one clear line, and stops.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use api::{Scope, Watch};

use crate::harness::{Group, block_on, poll, run};
use crate::nodes::Operator;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_control"))
}

/// Standard error of a start that must fail.
fn refused(group: &Group, flags: &[&str]) -> String {
    let mut command = Command::new(program());
    command.arg("--settings").arg(group.settings(0)).args(flags);
    let output = run(command.current_dir(group.dir.path()));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{text}");
    let last = text.lines().last().unwrap();
    assert!(last.starts_with("control: "), "{text}");
    last.into()
}

/// Guards against a panic, a stack of lines or a start with half of the
/// settings where the operator needs to know what to mend.
#[test]
fn broken_starts_say_why() {
    let mut group = Group::start(program(), 1);
    let port = refused(&group, &[]);
    let taken = format!("cannot listen on {}:", group.addresses[0]);
    assert!(port.contains(&taken), "{port}");
    assert!(port.contains("in use"), "{port}");
    group.kill(0);

    let blocked = group.dir.path().join("blocked");
    std::fs::write(&blocked, "a file, so no folder can be made below it").unwrap();
    group.write_settings(0, |s| s["folder"] = "blocked/data".into());
    let folder = refused(&group, &[]);
    assert!(
        folder.contains("cannot write to the data folder blocked/data"),
        "{folder}"
    );

    type Break = fn(&mut serde_json::Value);
    let cases: [(Break, &str); 11] = [
        (|s| s["unknown"] = 1.into(), "unknown field `unknown`"),
        (|s| s["listen"] = "localhost".into(), "listen: "),
        (
            |s| s["listen"] = "0.0.0.0:7001".into(),
            "listen: 0.0.0.0:7001 is not an address",
        ),
        (|s| s["listen"] = "127.0.0.1:1".into(), "make both equal"),
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
            let text = refused(&group, flags);
            assert!(text.contains(message), "{text}");
        }
    }
    std::fs::write(group.settings(0), "{\n  // a comment\n  \"id\": }").unwrap();
    let text = refused(&group, &["--check"]);
    assert!(text.contains("control-1.jsonc:3:"), "{text}");
}

/// Guards against a check that starts something, and a check of valid settings that fails.
#[test]
fn check_only_checks() {
    let group = Group::start(program(), 1);
    let mut command = Command::new(program());
    command
        .arg("--settings")
        .arg(group.settings(0))
        .arg("--check");
    let output = run(command.current_dir(group.dir.path()));
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a stop that waits for the long polls of every node.
#[test]
fn stops_end_long_polls() {
    let mut group = Group::start(program(), 1);
    block_on(Operator::new(&group, 0).declare());
    let (client, peer) = (group.client(), group.addresses[0]);
    let waiting = std::thread::spawn(move || {
        block_on(async {
            let poll = Watch {
                scope: Scope::Region(9.into()),
                ..poll(2, 10_000)
            };
            let limit = Duration::from_secs(10);
            client
                .post::<_, api::WatchReply>(peer, api::path::WATCH, &poll, limit)
                .await
        })
    });
    std::thread::sleep(Duration::from_millis(300));
    assert!(!waiting.is_finished());
    let took = group.stop(0);
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert!(waiting.join().unwrap().is_err());
}
