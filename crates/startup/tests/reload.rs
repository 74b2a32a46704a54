//! Detection of changes to a settings file.

use std::time::Duration;

use slog::{Discard, Logger, o};
use startup::Reload;
use tokio::time::timeout;

/// Maximum wait for a change; the file is polled once per second.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against a change that is only detected on a signal, and against a file that is reported as
/// changed when it is temporarily unreadable or restored with the same content.
#[tokio::test]
async fn change_is_detected_without_a_signal() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.jsonc");
    std::fs::write(&file, "{}").unwrap();
    let mut reload = Reload::watch(&file, &Logger::root(Discard, o!())).unwrap();
    assert!(timeout(CHANGE_TIMEOUT / 2, reload.changed()).await.is_err());
    std::fs::remove_file(&file).unwrap();
    assert!(timeout(CHANGE_TIMEOUT / 2, reload.changed()).await.is_err());
    std::fs::write(&file, "{}").unwrap();
    assert!(timeout(CHANGE_TIMEOUT / 2, reload.changed()).await.is_err());
    std::fs::write(&file, "{ }").unwrap();
    timeout(CHANGE_TIMEOUT, reload.changed()).await.unwrap();
    assert!(
        timeout(CHANGE_TIMEOUT / 2, reload.changed()).await.is_err(),
        "the change is reported once"
    );
}
