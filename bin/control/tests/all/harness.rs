//! Starts control processes on loopback ports.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use api::{Heartbeat, Role, Scope, Watch};
use rpc::{Client, Key};
use tempfile::TempDir;
use units::{Incarnation, Millis, Version};

/// Timeout for each step of a process under test.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Shared key of the tests.
pub const KEY: [u8; 32] = [0xab; 32];

/// Group of control processes with one temporary folder; dropping it kills them.
pub struct Group {
    /// Folder with the settings and data.
    pub dir: TempDir,
    /// Address of each replica.
    pub addresses: Vec<SocketAddr>,
    program: PathBuf,
    running: Vec<Option<Child>>,
    lines: Vec<Arc<Mutex<Vec<String>>>>,
}

impl Group {
    /// Starts a group and waits until each replica is ready.
    pub fn start(program: &Path, size: usize) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let text = "ab".repeat(KEY.len());
        std::fs::write(dir.path().join("key.hex"), text).unwrap();
        let mut group = Self {
            dir,
            addresses: Vec::new(),
            program: program.into(),
            running: (0..size).map(|_| None).collect(),
            lines: (0..size).map(|_| Arc::default()).collect(),
        };
        // Another process of this machine may bind a free port before the replica does.
        for _ in 0..5 {
            group.addresses = (0..size).map(|_| ports::free().into()).collect();
            for index in 0..size {
                group.write_settings(index, |_| {});
            }
            match group.try_run_all() {
                Ok(()) => return group,
                Err(text) if text.contains("Address already in use") => {
                    (0..size).for_each(|index| group.kill(index));
                }
                Err(text) => panic!("{text}"),
            }
        }
        panic!("no free ports")
    }

    /// Starts every stopped replica and waits until each is ready.
    pub fn run_all(&mut self) {
        self.try_run_all().unwrap();
    }

    /// Starts one replica and waits until it is ready.
    pub fn run(&mut self, index: usize) {
        self.spawn(index).recv_timeout(TIMEOUT).unwrap();
    }

    fn try_run_all(&mut self) -> Result<(), String> {
        let stopped = (0..self.running.len()).filter(|index| self.running[*index].is_none());
        let stopped: Vec<_> = stopped.collect();
        let ready: Vec<_> = stopped.iter().map(|index| self.spawn(*index)).collect();
        for (index, ready) in stopped.into_iter().zip(ready) {
            if let Err(e) = ready.recv_timeout(TIMEOUT) {
                let lines = self.output_lines(index);
                return Err(format!("replica {index} is not ready: {e}: {lines:?}"));
            }
        }
        Ok(())
    }

    /// Returns the output lines of a replica.
    pub fn output_lines(&self, index: usize) -> Vec<String> {
        self.lines[index].lock().unwrap().clone()
    }

    fn spawn(&mut self, index: usize) -> mpsc::Receiver<()> {
        let mut child = Command::new(&self.program)
            .arg("--settings")
            .arg(self.settings_path(index))
            .current_dir(self.dir.path())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // A failed start reports its cause on standard error.
        let errors = BufReader::new(child.stderr.take().unwrap()).lines();
        let output = Arc::clone(&self.lines[index]);
        thread::spawn(move || {
            for line in errors.map_while(Result::ok) {
                output.lock().unwrap().push(line);
            }
        });
        let (sender, ready) = mpsc::channel();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let output = Arc::clone(&self.lines[index]);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains(r#""msg":"ready""#) {
                    let _sent = sender.send(());
                }
                output.lock().unwrap().push(line);
            }
        });
        self.running[index] = Some(child);
        ready
    }

    /// Returns the path of the settings file of a replica.
    pub fn settings_path(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("control-{}.jsonc", index + 1))
    }

    /// Writes the default settings of a replica with a change applied.
    pub fn write_settings(&self, index: usize, change: impl FnOnce(&mut serde_json::Value)) {
        let peer = |(index, address): (usize, &SocketAddr)| serde_json::json!({ "id": index + 1, "address": address });
        let peers: Vec<_> = self.addresses.iter().enumerate().map(peer).collect();
        let mut settings = serde_json::json!({
            "id": index + 1,
            "host": format!("control-{}", index + 1),
            "centre": "dc-1",
            "listen": self.addresses[index],
            "folder": format!("data/control-{}", index + 1),
            "key_file": "key.hex",
            "peers": peers,
        });
        change(&mut settings);
        std::fs::write(self.settings_path(index), settings.to_string()).unwrap();
    }

    /// Kills a replica with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.running[index].take() {
            let _killed = child.kill();
            let _status = child.wait();
        }
    }

    /// Sends SIGTERM, waits for a successful exit and returns the time it took.
    pub fn stop(&mut self, index: usize) -> Duration {
        let start = Instant::now();
        let mut child = self.running[index].take().unwrap();
        let id = nix::unistd::Pid::from_raw(i32::try_from(child.id()).unwrap());
        nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
        assert!(child.wait().unwrap().success());
        start.elapsed()
    }

    /// Returns a client for the endpoints between processes.
    pub fn client(&self) -> Client {
        Client::new(Key::from(KEY))
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|index| self.kill(index));
    }
}

/// Runs a program until it exits, and kills it after the timeout.
pub fn run(command: &mut Command) -> Output {
    let piped = command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = piped.spawn().unwrap();
    let (mut out, mut err) = (child.stdout.take().unwrap(), child.stderr.take().unwrap());
    let read_err = thread::spawn(move || {
        let mut bytes = Vec::new();
        err.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let read_out = thread::spawn(move || {
        let mut bytes = Vec::new();
        out.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let deadline = Instant::now() + TIMEOUT;
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if Instant::now() > deadline {
            let _killed = child.kill();
        }
        thread::sleep(Duration::from_millis(10));
    };
    Output {
        status,
        stdout: read_out.join().unwrap(),
        stderr: read_err.join().unwrap(),
    }
}

/// Returns the heartbeat of a balancer.
pub fn heartbeat(host: &str, config: u64) -> Heartbeat {
    Heartbeat {
        host: host.parse().unwrap(),
        role: Role::Balancer,
        region: Default::default(),
        centre: "dc-1".parse().unwrap(),
        incarnation: Incarnation(1),
        config: Version(config),
        flows: 0,
        backend: None,
        leaving: false,
    }
}

/// Returns the long poll of a node that has a configuration version and no tables.
pub fn watch_request(config: u64, wait_ms: u64) -> Watch {
    Watch {
        host: "n".parse().unwrap(),
        scope: Scope::Region(Default::default()),
        config: Version(config),
        horizon: Millis(0),
        index: 0,
        wait_ms: Millis(wait_ms),
        probe: false,
    }
}

/// Runs a future on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}
