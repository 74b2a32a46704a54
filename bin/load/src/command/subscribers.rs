//! Nodes that send heartbeats and poll control, for the cost per subscriber.

use std::sync::Arc;

use std::process::ExitCode;
use std::time::Duration;

use api::{Role, Scope};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use rpc::{Client, Key};
use units::{Incarnation, Region};
use watcher::{HeartbeatPayload, Watcher, WatcherSettings};

use crate::cli::Subscribers;
use crate::error::LoadError;

/// Most nodes of one run.
const MAX_NODES: usize = 4_000;

/// Longest run in seconds.
const MAX_SECONDS: u64 = 120;

/// Runs the nodes and prints how many heartbeats were answered.
///
/// # Errors
/// When the key can't be read or an option is out of range.
pub async fn run(flags: Subscribers) -> Result<ExitCode, LoadError> {
    let usage = |what: &str, message: String| LoadError::Usage {
        what: what.into(),
        message: message.into(),
    };
    let key = Key::read(&flags.key).map_err(|e| usage("--key", e.to_string()))?;
    if flags.nodes > MAX_NODES {
        return Err(usage(
            "--nodes",
            format!("{} is out of range; use at most {MAX_NODES}", flags.nodes),
        ));
    }
    let seconds = flags.seconds.unwrap_or(10).min(MAX_SECONDS);
    // Each node holds two connections.
    let raised = getrlimit(Resource::RLIMIT_NOFILE)
        .and_then(|(_, hard)| setrlimit(Resource::RLIMIT_NOFILE, hard, hard));
    raised.map_err(|e| usage("open files", e.to_string()))?;
    let client = Client::new(key);
    let mut watchers = Vec::new();
    for n in 0..flags.nodes {
        let settings = settings(n, &flags)?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        watchers.push(Watcher::start(
            settings,
            client.clone(),
            log,
            HeartbeatPayload::default,
        ));
        // Nodes of a deployment don't start at the same moment.
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let before = answers(&watchers);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = answers(&watchers);
    println!(
        "nodes {} seconds {seconds} heartbeats {}",
        flags.nodes,
        after - before
    );
    Ok(ExitCode::SUCCESS)
}

fn answers(watchers: &[Watcher]) -> u64 {
    watchers
        .iter()
        .map(|watcher| watcher.control_status().borrow().replies)
        .sum()
}

fn settings(n: usize, flags: &Subscribers) -> Result<WatcherSettings, LoadError> {
    let name = |e: units::NameError| LoadError::Usage {
        what: "name".into(),
        message: e.to_string().into(),
    };
    let host = format!("subscriber-{n}").parse().map_err(name)?;
    let centre = "dc-1".parse().map_err(name)?;
    let scope = Scope::Region(Region(0));
    Ok(WatcherSettings {
        control: Arc::new(watcher::Replicas::new(vec![flags.control])),
        incarnation: Incarnation(1),
        ..WatcherSettings::new(host, Role::Balancer, centre, scope)
    })
}
