//! One program of the workspace as a process.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::eventually;

/// Longest start of a program.
const START: Duration = Duration::from_secs(15);

/// Folder of the built programs; builds them once.
///
/// # Panics
/// When they can't be built.
#[must_use]
pub fn programs() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "--workspace", "--bins", "--locked", "--quiet"])
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "the programs can't be built"
        );
        let test = std::env::current_exe().expect("a test has a path");
        let folder = test.parent().and_then(Path::parent);
        folder.expect("tests lie in target/debug/deps").to_owned()
    })
}

/// A running program; killed by its id when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    code: Option<i32>,
}

impl Process {
    /// Starts a program with a settings file; its log goes to a file in `folder`.
    ///
    /// # Panics
    /// When it can't be started.
    #[must_use]
    pub fn start(folder: &Path, program: &str, name: &str, settings: &serde_json::Value) -> Self {
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings.to_string()).expect("the folder is writable");
        let mut command = Command::new(programs().join(program));
        Self::spawn(folder, name, command.arg("--settings").arg(&file))
    }

    /// Starts a program; its log goes to a file in `folder`.
    ///
    /// # Panics
    /// When it can't be started.
    #[must_use]
    pub fn spawn(folder: &Path, name: &str, command: &mut Command) -> Self {
        let log = folder.join(format!("{name}-{}.log", now_ns()));
        let output = File::create(&log).expect("the folder is writable");
        let errors = output.try_clone().expect("another handle of the file");
        let child = command
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| panic!("{name} can't be started: {e}"));
        Self {
            name: name.into(),
            child,
            log,
            code: None,
        }
    }

    /// Waits for the log line "ready".
    ///
    /// # Panics
    /// When it does not come in time.
    pub async fn ready(&self) {
        let what = format!("{} is ready", self.name);
        eventually(&what, START, async || {
            self.log().contains("\"msg\":\"ready\"")
        })
        .await;
    }

    /// What the program logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> i32 {
        i32::try_from(self.child.id()).expect("ids of processes are positive")
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if self.code.is_some() {
            return;
        }
        let id = i32::try_from(self.child.id()).unwrap_or(i32::MAX);
        // The process may have ended by itself.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Asks for a graceful stop and waits; returns the exit code, `None` if it had to be killed.
    pub async fn stop(&mut self, limit: Duration) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        self.wait(limit).await
    }

    /// Waits for the end; returns the exit code, `None` after the limit or a signal.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.code = status.code().or(Some(-1));
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Whether the program still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the program at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.code = Some(-1);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn now_ns() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |span| span.as_nanos())
}
