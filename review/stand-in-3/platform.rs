//! Platform: machines, processes with the commands and templates of the deploy file, routers, operator.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::{Record, call, random};

#[derive(Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub readiness: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub internal: u16,
}

/// Addresses and ports that are free on loopback.
pub struct Net {
    prefix: [u8; 2],
    pub ports: Ports,
}

impl Net {
    pub fn draw(machines: u8) -> Self {
        loop {
            let number = random();
            let prefix = [16 + (number % 200) as u8, (number >> 8) as u8];
            let first = 20_000 + (number >> 16) as u16 % 30_000;
            let ports = Ports {
                packets: first,
                readiness: first + 1,
                control: first + 2,
                outbound: first + 3,
                app: first + 4,
                internal: first + 5,
            };
            let net = Self { prefix, ports };
            let free = (1..=machines).all(|machine| {
                let ip = net.ip(machine);
                (first..first + 6)
                    .all(|p| UdpSocket::bind((ip, p)).is_ok() && TcpListener::bind((ip, p)).is_ok())
                    && (9_101..=9_103).all(|p| TcpListener::bind((ip, p)).is_ok())
            });
            if free {
                return net;
            }
        }
    }

    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], machine)
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), port)
    }
}

/// What the settings of a process say.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub number: u8,
    /// Service and host address on `side` machines.
    pub service: String,
    pub data: Option<PathBuf>,
}

pub struct Daemon {
    role: &'static str,
    machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Deployment {
    pub net: Net,
    pub record: Record,
    folder: PathBuf,
    pub daemons: Vec<Daemon>,
    seeds: Vec<SocketAddrV4>,
}

impl Deployment {
    pub fn new(net: Net, record: Record, seeds: Vec<SocketAddrV4>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("case-{}-{:08x}", std::process::id(), random()));
        fs::create_dir_all(&folder).unwrap();
        Self {
            net,
            record,
            folder,
            daemons: Vec::new(),
            seeds,
        }
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join("data").join(name)
    }

    /// Starts a role on a machine.
    pub fn start(&mut self, role: &'static str, machine: Machine) {
        let name = format!("{}-{role}", machine.name);
        let settings = self.folder.join(format!("{name}.conf"));
        let log = self.folder.join(format!("{name}.log"));
        self.daemons.push(Daemon {
            role,
            machine,
            settings,
            log,
            child: None,
        });
        self.launch(self.daemons.len() - 1);
    }

    fn launch(&mut self, index: usize) {
        let text = self.settings_text(&self.daemons[index]);
        let daemon = &mut self.daemons[index];
        fs::write(&daemon.settings, text).unwrap();
        let words = command(daemon.role);
        let log = File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .unwrap();
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("JACINTHSILL_BOOT", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        daemon.child = Some(child);
        self.record.line(&format!(
            "platform: starts {} of {}",
            daemon.role, daemon.machine.name
        ));
    }

    /// The template of a role, filled in as the platform does.
    fn settings_text(&self, daemon: &Daemon) -> String {
        let template = Path::new("deploy").join(format!("{}.jsonc", daemon.role));
        let mut text = fs::read_to_string(template).unwrap();
        let machine = &daemon.machine;
        let (net, ports) = (&self.net, self.net.ports);
        let at = |port| net.at(machine.number, port).to_string();
        let seeds: Vec<_> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let observer = "{{^data_dir}}true{{/data_dir}}{{#data_dir}}false{{/data_dir}}";
        let data = machine
            .data
            .as_ref()
            .map_or(String::new(), |d| d.display().to_string());
        let fields = [
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            (
                "{{#heartbeat_ms}}\"interval_ms\": {{.}},{{/heartbeat_ms}}",
                "\"interval_ms\": 1200,".into(),
            ),
            (
                "{{#bounds.grace_s}}\"grace_s\": {{.}},{{/bounds.grace_s}}",
                "\"grace_s\": 6,".into(),
            ),
            (observer, machine.data.is_none().to_string()),
            ("{{node_name}}", machine.name.clone()),
            ("{{zone}}", machine.zone.clone()),
            ("{{service}}", machine.service.clone()),
            ("{{app}}", at(ports.app)),
            ("{{ip}}", net.ip(machine.number).to_string()),
            ("{{data_dir}}", data),
            ("{{bind_addrs.datagram_addr}}", at(ports.packets)),
            ("{{bind_addrs.outbound}}", at(ports.outbound)),
            ("{{bind_addrs.control}}", at(ports.control)),
            ("{{bind_addrs.readiness_addr}}", at(ports.readiness)),
            ("{{internal_ports.0}}", ports.internal.to_string()),
            ("{{limits.link_mbps|json}}", "1000.0".into()),
            ("{{bootstrap|json}}", "true".into()),
            ("{{fault_tolerance.machines|json}}", "1".into()),
        ];
        for (placeholder, value) in fields {
            text = text.replace(placeholder, &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template is not filled: {text}"
        );
        text
    }

    pub fn operator(&self) -> Operator {
        Operator {
            control: self.seeds.clone(),
            record: self.record.clone(),
        }
    }

    /// Copies the processes' logs beside the record.
    pub fn keep_logs(&self, to: &Path) {
        let _ = fs::create_dir_all(to);
        for daemon in &self.daemons {
            if let Some(name) = daemon.log.file_name() {
                let _ = fs::copy(&daemon.log, to.join(name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::end);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Command of a role in the deploy file.
fn command(role: &str) -> Vec<String> {
    let file = fs::read_to_string("deploy/system.toml").unwrap();
    let section = file
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .expect("the role is in the deploy file");
    let line = section
        .lines()
        .find(|l| l.starts_with("run = "))
        .expect("the role has a command");
    line.trim_start_matches("run = ")
        .trim_matches('"')
        .split(' ')
        .map(Into::into)
        .collect()
}

/// Operator; it knows the addresses that serve control.
pub struct Operator {
    control: Vec<SocketAddrV4>,
    record: Record,
}

impl Operator {
    /// Sends a configuration until it is acknowledged, to any control process, and follows redirects.
    pub fn configure(&self, body: &str, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            for seed in &self.control {
                let mut to = *seed;
                for _ in 0..3 {
                    let answer = call(to, "POST", "/Config.Replace", body, Duration::from_secs(1));
                    match answer {
                        Some(answer) if answer.status == 200 => {
                            self.record
                                .line("operator: the configuration is acknowledged");
                            return true;
                        }
                        Some(answer) if answer.status == 307 => {
                            let location = answer.location.unwrap_or_default();
                            let host = location.trim_start_matches("http://").split('/').next();
                            let Some(next) = host.and_then(|h| h.parse().ok()) else {
                                break;
                            };
                            to = next;
                        }
                        _ => break,
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Routers of a zone: each packet goes to one of the balancers in rotation, by a hash modulo their number.
pub struct Router {
    balancers: Vec<(SocketAddrV4, SocketAddrV4, AtomicBool)>,
    record: Record,
}

impl Router {
    /// Takes the addresses for packets and for readiness probes.
    pub fn start(balancers: Vec<(SocketAddrV4, SocketAddrV4)>, record: Record) -> Arc<Self> {
        let balancers = balancers
            .into_iter()
            .map(|(p, r)| (p, r, AtomicBool::new(false)))
            .collect::<Vec<_>>();
        let router = Arc::new(Self { balancers, record });
        for index in 0..router.balancers.len() {
            let router = Arc::clone(&router);
            std::thread::spawn(move || router.probe(index));
        }
        router
    }

    fn probe(&self, index: usize) {
        let (packets, readiness, ready) = &self.balancers[index];
        let mut misses = 0;
        loop {
            let begin = Instant::now();
            let limit = Duration::from_millis(450);
            let answer = call(*readiness, "GET", "/readiness", "", limit);
            misses = if answer.is_some_and(|a| a.status == 200) {
                0
            } else {
                misses + 1
            };
            let before = ready.load(Ordering::Acquire);
            if misses == 0 || misses >= 2 {
                ready.store(misses == 0, Ordering::Release);
                if before != (misses == 0) {
                    self.record
                        .line(&format!("router: {packets} in rotation: {}", misses == 0));
                }
            }
            std::thread::sleep(Duration::from_millis(500).saturating_sub(begin.elapsed()));
        }
    }

    pub fn ready(&self) -> usize {
        self.balancers
            .iter()
            .filter(|b| b.2.load(Ordering::Acquire))
            .count()
    }

    pub fn choose(&self, src: SocketAddrV4, dst: SocketAddrV4) -> SocketAddrV4 {
        let ready: Vec<_> = self
            .balancers
            .iter()
            .filter(|b| b.2.load(Ordering::Acquire))
            .map(|b| b.0)
            .collect();
        // Below half, all balancers of the zone are used.
        let list = if ready.len() * 2 < self.balancers.len() {
            self.balancers.iter().map(|b| b.0).collect()
        } else {
            ready
        };
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for end in [src, dst] {
            for byte in end
                .ip()
                .octets()
                .into_iter()
                .chain(end.port().to_be_bytes())
            {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
        }
        hash ^= hash >> 31;
        list[hash as usize % list.len()]
    }
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Shared by threads that note the first broken rule.
#[derive(Default)]
pub struct Findings(Mutex<Vec<String>>);

impl Findings {
    pub fn add(&self, text: String) {
        self.0.lock().unwrap().push(text);
    }

    pub fn list(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }
}
