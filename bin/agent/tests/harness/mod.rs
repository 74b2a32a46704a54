//! Test environment: real agents with a fake control, balancer, fabric and backend server.

pub mod control;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use netstack::pipe::{self, Pipe};
use netstack::{Connection, FlowEnd, StackSettings, stream};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rpc::Key;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use units::{Epoch, Flow, Incarnation, ServiceId};
use wire::{Candidate, Flags, Header};

pub use control::FakeControl;

pub const SERVICE: ServiceId = ServiceId(1);
pub const TIMEOUT: Duration = Duration::from_secs(20);
const KEY: [u8; 32] = [7; 32];

pub fn key() -> Key {
    Key::from(KEY)
}

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80)
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "never happened: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub struct Agent {
    pub candidate: Candidate,
    pub http: SocketAddr,
    child: Child,
}

impl Agent {
    pub fn pid(&self) -> u32 {
        self.child.id().expect("a running agent")
    }

    pub fn signal(&self) {
        let pid = Pid::from_raw(i32::try_from(self.pid()).expect("a pid"));
        kill(pid, Signal::SIGTERM).expect("a signal");
    }

    pub async fn exit(&mut self) -> bool {
        let status = timeout(TIMEOUT, self.child.wait()).await.expect("an end");
        status.expect("a status").success()
    }

    pub async fn stats(&self) -> serde_json::Value {
        let mut stream = TcpStream::connect(self.http).await.expect("a connection");
        let request = b"GET /v1/stats HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.expect("a request");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("a reply");
        let body = text.split("\r\n\r\n").nth(1).expect("a body");
        serde_json::from_str(body).expect("JSON")
    }
}

pub type FlowEndTask = JoinHandle<FlowEnd>;

pub struct Harness {
    pub control: FakeControl,
    pub candidates: Arc<Mutex<Vec<Candidate>>>,
    pub fabric: Arc<UdpSocket>,
    pub backend: SocketAddr,
    callers: Arc<Mutex<HashMap<u16, mpsc::Sender<Bytes>>>>,
    folder: tempfile::TempDir,
}

impl Harness {
    /// Creates an environment with a profile and a backend server that echoes what it receives.
    pub async fn new(profile: serde_json::Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let backend = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let (mut read, mut write) = stream.split();
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                    let _ = write.shutdown().await;
                });
            }
        });
        Self::with_backend(profile, backend).await
    }

    pub async fn with_backend(profile: serde_json::Value, backend: SocketAddr) -> Self {
        let service = serde_json::json!({
            "name": "storefront", "tenant": "masa", "profile": "p", "address": service_address(),
        });
        let view = api::ServiceView {
            id: SERVICE,
            service: serde_json::from_value(service).expect("a service"),
            profile: serde_json::from_value(profile).expect("a profile"),
            version: units::Version(1),
        };
        let fabric = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let harness = Self {
            control: FakeControl::start(key(), view),
            candidates: Arc::default(),
            fabric: Arc::new(fabric),
            backend,
            callers: Arc::default(),
            folder: tempfile::tempdir().expect("a folder"),
        };
        tokio::spawn(dispatch(
            Arc::clone(&harness.fabric),
            Arc::clone(&harness.callers),
        ));
        harness
    }

    pub fn write_settings(&self, incarnation: u64, change: serde_json::Value) -> PathBuf {
        let key_file = self.folder.path().join("key.hex");
        let hex: String = KEY.iter().map(|byte| format!("{byte:02x}")).collect();
        std::fs::write(&key_file, hex).expect("a key file");
        let mut settings = serde_json::json!({
            "host": "storefront-1", "centre": "dc-1", "region": 0, "service": "storefront",
            "packets": ports::free(),
            "http": ports::free(),
            "fabric": self.fabric.local_addr().expect("an address"),
            "backend": self.backend, "slots": 2, "weight": 100,
            "control": [self.control.address], "key_file": key_file, "incarnation": incarnation,
        });
        for (name, value) in change.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let path = self.folder.path().join(format!("agent-{incarnation}.json"));
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        path
    }

    /// Starts an agent and waits until it accepts new flows.
    pub async fn agent(&self, incarnation: u64) -> Agent {
        let path = self.write_settings(incarnation, serde_json::json!({}));
        let text = std::fs::read_to_string(&path).expect("a file");
        let settings: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let address = |name: &str| settings[name].as_str().expect("an address").to_owned();
        let mut child = command(&path).spawn().expect("an agent");
        let stdout = child.stdout.take().expect("its log");
        let (ready, became_ready) = tokio::sync::oneshot::channel();
        tokio::spawn(async move {
            let mut lines = BufReader::new(stdout).lines();
            let mut ready = Some(ready);
            while let Ok(Some(line)) = lines.next_line().await {
                if line.contains("\"msg\":\"ready\"") {
                    ready.take().map(|ready| ready.send(()));
                }
            }
        });
        let became_ready = timeout(TIMEOUT, became_ready).await.expect("in time");
        if became_ready.is_err() {
            let output = child.wait_with_output().await.expect("an end");
            panic!(
                "the agent ended before it was ready, {}: {}",
                output.status,
                String::from_utf8_lossy(&output.stderr)
            );
        }
        let agent = Agent {
            candidate: Candidate {
                address: address("packets").parse().expect("an address"),
                incarnation: Incarnation(incarnation),
            },
            http: address("http").parse().expect("an address"),
            child,
        };
        let start = Instant::now();
        while agent.stats().await["accepting"] != true {
            assert!(start.elapsed() < TIMEOUT, "the agent never accepts flows");
            sleep(Duration::from_millis(20)).await;
        }
        agent
    }

    pub fn set_candidates(&self, agents: &[&Agent]) {
        let list = agents.iter().map(|agent| agent.candidate).collect();
        *self.candidates.lock().expect("a lock") = list;
    }

    /// Opens a flow from a caller port.
    pub fn open(&self, port: u16) -> (Pipe, FlowEndTask) {
        let flow = Flow {
            caller: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), port),
            service: service_address(),
        };
        let settings = StackSettings {
            linger_time: Duration::from_millis(100),
            ..StackSettings::default()
        };
        let connection = Connection::connect(&settings, flow, Instant::now(), u64::from(port));
        let (app, inner) = pipe::pair(64 << 10);
        let (sender, receiver) = mpsc::channel(256);
        self.callers.lock().expect("a lock").insert(port, sender);
        let (fabric, candidates) = (Arc::clone(&self.fabric), Arc::clone(&self.candidates));
        let send = move |packet: &[u8]| {
            let list = candidates.lock().expect("a lock");
            let header = header(&list);
            let mut out = Vec::new();
            wire::encode_packet(&key(), &header, packet, &mut out).expect("a datagram");
            let _ = fabric.try_send_to(&out, list[0].address.into());
        };
        (
            app,
            tokio::spawn(stream::drive(connection, receiver, send, inner)),
        )
    }
}

/// Header that a balancer sends if its table did not change recently.
pub fn header(candidates: &[Candidate]) -> Header {
    Header {
        hop: 0,
        flags: Flags::default(),
        service: SERVICE,
        epoch: Epoch(1),
        candidates: candidates.iter().copied().collect(),
        ..Header::default()
    }
}

/// Path of the agent that was built for the tests or next to the running example.
fn binary() -> PathBuf {
    option_env!("CARGO_BIN_EXE_agent").map_or_else(
        || {
            let example = std::env::current_exe().expect("a path");
            example.parent().expect("a folder").with_file_name("agent")
        },
        PathBuf::from,
    )
}

pub fn command(settings: &Path) -> Command {
    let mut command = Command::new(binary());
    command
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

async fn dispatch(fabric: Arc<UdpSocket>, callers: Arc<Mutex<HashMap<u16, mpsc::Sender<Bytes>>>>) {
    let mut buffer = [0; 2048];
    while let Ok((length, _)) = fabric.recv_from(&mut buffer).await {
        let segment = wire::inspect(&buffer[..length]).expect("a valid packet");
        assert_eq!(segment.flow.caller, service_address());
        let caller = segment.flow.service.port();
        if let Some(caller) = callers.lock().expect("a lock").get(&caller) {
            let _ = caller.try_send(Bytes::copy_from_slice(&buffer[..length]));
        }
    }
}

/// Sends bytes and expects them back.
pub async fn echo(app: &mut Pipe, text: &[u8]) {
    app.write_all(text).await.expect("a write");
    let mut back = vec![0; text.len()];
    let read = timeout(TIMEOUT, app.read_exact(&mut back)).await;
    read.expect("a reply in time").expect("a reply");
    assert_eq!(back, text);
}

/// Closes the direction of the caller and expects an orderly end.
pub async fn finish(mut app: Pipe, end: FlowEndTask) {
    app.shutdown().await.expect("a closed direction");
    let mut rest = Vec::new();
    let read = timeout(TIMEOUT, app.read_to_end(&mut rest)).await;
    read.expect("an end in time").expect("an orderly end");
    assert!(rest.is_empty());
    assert_eq!(
        timeout(TIMEOUT, end)
            .await
            .expect("in time")
            .expect("an end"),
        FlowEnd::Closed
    );
}
