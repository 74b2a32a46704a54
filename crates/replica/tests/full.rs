//! A full disk, simulated by a file size limit on this process.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use nix::sys::signal::{SigSet, Signal};
use replica::{ProposeError, Replica, ReplicaSettings, Role, StateMachine};
use slog::{Discard, Logger, o};

type Commands = Arc<Mutex<Vec<Vec<u8>>>>;

/// Starts the only replica of a group and waits until it is the leader.
async fn start(folder: &Path, commands: &Commands) -> Replica {
    let apply = Arc::clone(commands);
    let machine = StateMachine {
        apply: Box::new(move |_, command| {
            apply.lock().expect("commands").push(command.to_vec());
            command.to_vec()
        }),
        snapshot: Box::new(Vec::new),
        restore: Box::new(|_| Ok(())),
    };
    let settings = ReplicaSettings {
        folder: folder.to_owned(),
        propose_timeout: Duration::from_millis(500),
        ..ReplicaSettings::default()
    };
    let client = rpc::Client::new(rpc::Key::from([0; 32]));
    let log = Logger::root(Discard, o!());
    let replica = Replica::start(settings, machine, client, log)
        .await
        .expect("start");
    let leads = async {
        replica
            .watch()
            .wait_for(|s| s.role == Role::Leader)
            .await
            .is_ok()
    };
    assert!(
        tokio::time::timeout(Duration::from_secs(10), leads)
            .await
            .expect("leader")
    );
    replica
}

/// Guards against commands that are acknowledged but not written, an error without its
/// cause, and a replica that does not recover after space is freed.
#[test]
fn full_disk_refuses_commands_until_space_is_freed() {
    // A write beyond the limit raises SIGXFSZ, which ends the process unless it is
    // blocked. Threads inherit the signal mask.
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGXFSZ);
    signals.thread_block().expect("block the signal");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(run());
}

async fn run() {
    let dir = tempfile::tempdir().expect("folder");
    let commands = Commands::default();
    let replica = start(dir.path(), &commands).await;
    replica.propose(b"before".to_vec()).await.expect("commit");

    let (soft, hard) = getrlimit(Resource::RLIMIT_FSIZE).expect("limit");
    setrlimit(Resource::RLIMIT_FSIZE, 1000, hard).expect("limit");
    let outcome = replica.propose(vec![b'x'; 2000]).await;
    assert!(
        matches!(outcome, Err(ProposeError::Unknown { .. })),
        "{outcome:?}"
    );
    let outcome = replica.propose(b"refused".to_vec()).await;
    let Err(ProposeError::Refused { reason }) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(reason.contains("disk is full"), "{reason}");
    assert!(replica.status().storage_error.is_some());
    assert_eq!(
        commands.lock().expect("commands").len(),
        1,
        "applied without a write"
    );

    setrlimit(Resource::RLIMIT_FSIZE, soft, hard).expect("limit");
    let leads = async {
        replica
            .watch()
            .wait_for(|s| s.role == Role::Leader)
            .await
            .is_ok()
    };
    assert!(
        tokio::time::timeout(Duration::from_secs(10), leads)
            .await
            .expect("leader")
    );
    replica.propose(b"after".to_vec()).await.expect("commit");
    assert!(replica.status().storage_error.is_none());
    replica.stop().await;

    let again = Commands::default();
    let replica = start(dir.path(), &again).await;
    replica.confirm_leadership().await.expect("read");
    let (before, after) = (
        commands.lock().expect("commands"),
        again.lock().expect("commands"),
    );
    assert_eq!(*before, *after);
    assert!(
        !after.iter().any(|c| c == b"refused"),
        "a refused command was applied"
    );
    assert!(
        [&b"before"[..], b"after"]
            .iter()
            .all(|c| after.iter().any(|a| a == c))
    );
}
