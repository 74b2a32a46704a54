//! Operators, leaders and lost answers.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use api::{AuditEntry, AuditEvent};

use crate::harness::{Group, block_on, heartbeat, run};
use crate::lossy;

/// Control program next to the command line's.
pub fn control() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_jacinthsill")).with_file_name("control");
    assert!(
        path.exists(),
        "build it with: cargo build --workspace --bins --locked"
    );
    path
}

/// Runs the command line; the exit code and standard output.
pub fn jacinthsill(control: &str, arguments: &[&str]) -> (i32, String) {
    let output = output(control, arguments);
    (
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

pub fn output(control: &str, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthsill"));
    command.args(arguments).env("JACINTHSILL_CONTROL", control);
    run(command.env("JACINTHSILL_AUTHOR", "ann"))
}

/// Folder with profile `p` and service `s`.
pub fn declarations(group: &Group, name: &str, warmup: u64) -> String {
    let folder = group.dir.path().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let text = format!(
        r#"{{ // of a test
        "profiles": [{{ "name": "p", "warmup_ms": {warmup} }}],
        "services": [{{ "name": "s", "tenant": "t", "profile": "p", "address": "10.0.0.1:80" }}]
        }}"#
    );
    std::fs::write(folder.join("all.jsonc"), text).unwrap();
    folder.display().to_string()
}

/// Audit events, without members.
fn events(control: &str) -> Vec<AuditEvent> {
    let (code, text) = jacinthsill(control, &["audit", "--output", "json"]);
    assert_eq!(code, 0);
    let entries: Vec<AuditEntry> = serde_json::from_str(&text).unwrap();
    entries.into_iter().map(|entry| entry.event).collect()
}

/// Guards against two operators who both change a declaration that each saw at
/// the same version.
#[test]
fn one_of_racing_operators_wins() {
    let group = Group::start(&control(), 3);
    let control = group
        .addresses
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();
    let control = control.join(",");
    let folder = declarations(&group, "one", 1);
    assert_eq!(jacinthsill(&control, &["apply", &folder]).0, 0);
    let barrier = Barrier::new(6);
    let codes: Vec<_> = thread::scope(|scope| {
        let race = || {
            barrier.wait();
            jacinthsill(&control, &["retire", "service", "s", "--expected", "2"]).0
        };
        let racers: Vec<_> = (0..6).map(|_| scope.spawn(race)).collect();
        racers
            .into_iter()
            .map(|racer| racer.join().unwrap())
            .collect()
    });
    let count = |code| codes.iter().filter(|c| **c == code).count();
    assert_eq!((count(0), count(3)), (1, 5), "{codes:?}");
    let retired = |event: &&AuditEvent| matches!(event, AuditEvent::Retire { .. });
    assert_eq!(events(&control).iter().filter(retired).count(), 1);
}

/// Guards against an operator who must know which replica leads.
#[test]
fn references_to_the_leader_are_followed() {
    let group = Group::start(&control(), 3);
    let folder = declarations(&group, "one", 1);
    for (index, address) in group.addresses.iter().enumerate() {
        let (code, text) = jacinthsill(&address.to_string(), &["apply", &folder]);
        assert_eq!(code, 0);
        assert_eq!(text.contains("no differences"), index > 0, "{text}");
    }
    // A lost replica is passed over.
    let control = format!("127.0.0.1:1,{}", group.addresses[0]);
    assert_eq!(jacinthsill(&control, &["plan", &folder]).0, 0);
}

/// Guards against a change that is applied twice, or reported as failed,
/// because the answer to it was lost.
#[test]
fn a_resend_after_a_lost_answer_is_applied_once() {
    let group = Group::start(&control(), 1);
    let direct = group.addresses[0].to_string();
    let folder = declarations(&group, "one", 1);
    assert_eq!(jacinthsill(&direct, &["plan", &folder]).0, 4);
    let announce = [
        "announce", "balancer", "b", "--start", "now", "--end", "+60s",
    ];
    for (arguments, lost) in [(&["apply", &folder][..], 3), (&announce, 2)] {
        let (proxy, left) = lossy::start(group.addresses[0], lost);
        let (code, text) = jacinthsill(&proxy.to_string(), arguments);
        assert_eq!((code, left.load(Ordering::SeqCst)), (0, 0), "{text}");
    }
    let made = events(&direct);
    let puts = made.iter().filter(|e| matches!(e, AuditEvent::Put { .. }));
    let plans = made
        .iter()
        .filter(|e| matches!(e, AuditEvent::Announce { .. }));
    assert_eq!((puts.count(), plans.count()), (2, 1), "{made:?}");
}

/// Guards against an operator who can't tell whether a change was made, or makes it twice.
#[test]
fn an_unknown_outcome_can_be_resolved_with_its_key() {
    let group = Group::start(&control(), 1);
    let direct = group.addresses[0].to_string();
    let folder = declarations(&group, "one", 1);
    assert_eq!(jacinthsill(&direct, &["apply", &folder]).0, 0);
    let (proxy, _) = lossy::start(group.addresses[0], u32::MAX);
    let now = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap()
        .as_millis();
    let (start, end) = (now.to_string(), (now + 60_000).to_string());
    let announce = [
        "announce", "balancer", "b", "--start", &start, "--end", &end,
    ];
    let hurried = [&["--timeout", "1"], &announce[..]].concat();
    let output = output(&proxy.to_string(), &hurried);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(5), "{text}");
    assert!(text.contains("outcome unknown"), "{text}");
    let key = text.trim().rsplit("--key ").next().unwrap();
    let again = [&announce[..], &["--key", key, "--output", "json"]].concat();
    let (code, text) = jacinthsill(&direct, &again);
    assert_eq!(code, 0);
    assert!(text.contains(r#""repeated": true"#), "{text}");
}

/// Guards against an apply that returns before every node has the change, or
/// never does because of one that lags.
#[test]
fn apply_waits_until_in_force() {
    let group = Group::start(&control(), 1);
    let control = group.addresses[0].to_string();
    let (client, peer) = (group.client(), group.addresses[0]);
    let (config, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let (config, stop) = (Arc::new(config), Arc::new(stop));
    let node = {
        let (config, stop) = (Arc::clone(&config), Arc::clone(&stop));
        thread::spawn(move || {
            block_on(async {
                while !stop.load(Ordering::SeqCst) {
                    let heartbeat = heartbeat("lagging", config.load(Ordering::SeqCst));
                    let limit = Duration::from_secs(1);
                    let _reply = client
                        .post::<_, api::HeartbeatReply>(
                            peer,
                            api::path::HEARTBEAT,
                            &heartbeat,
                            limit,
                        )
                        .await;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        })
    };
    let folder = declarations(&group, "one", 1);
    let output = output(&control, &["apply", &folder, "--wait", "6"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(4), "{text}");
    assert!(text.contains("missing at lagging"), "{text}");
    let (code, text) = jacinthsill(&control, &["status"]);
    assert_eq!(code, 4, "{text}");
    config.store(2, Ordering::SeqCst);
    let (code, text) = jacinthsill(&control, &["apply", &folder, "--wait", "10"]);
    assert_eq!(code, 0);
    assert!(text.contains("in force everywhere"), "{text}");
    assert_eq!(jacinthsill(&control, &["status"]).0, 0);
    stop.store(true, Ordering::SeqCst);
    node.join().unwrap();
}
