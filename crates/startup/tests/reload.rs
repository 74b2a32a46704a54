//! Changes of a settings file.

use std::time::Duration;

use slog::{Discard, Logger, o};
use startup::Reload;
use tokio::time::timeout;

/// Longest wait for a change; the file is looked at once a second.
const LIMIT: Duration = Duration::from_secs(3);

/// Guards against changed settings that wait for a signal which never comes, and against a file that
/// can't be read for a moment, or came back as it was, and counts as a change.
#[tokio::test]
async fn a_change_is_seen_without_a_signal() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    std::fs::write(&file, "{}").unwrap();
    let mut reload = Reload::watch(&file, &Logger::root(Discard, o!())).unwrap();
    assert!(timeout(LIMIT / 2, reload.changed()).await.is_err());
    std::fs::remove_file(&file).unwrap();
    assert!(timeout(LIMIT / 2, reload.changed()).await.is_err());
    std::fs::write(&file, "{}").unwrap();
    assert!(timeout(LIMIT / 2, reload.changed()).await.is_err());
    std::fs::write(&file, "{ }").unwrap();
    timeout(LIMIT, reload.changed()).await.unwrap();
    assert!(
        timeout(LIMIT / 2, reload.changed()).await.is_err(),
        "seen once"
    );
}
