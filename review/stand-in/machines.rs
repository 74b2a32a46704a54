//! Machines of a small deployment: the built programs with the settings that the templates in
//! `deploy/` give them.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, Failure, Flow, Router};
use crate::host::{Host, HostSettings};
use crate::http;
use crate::record::Record;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const GRACE: Duration = Duration::from_secs(6);
/// Pause between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(100);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Virtual address of the routes; no socket has it.
pub const ROUTE_IP: Ipv4Addr = Ipv4Addr::new(127, 255, 0, 1);

/// Ids of the processes that this run started and that have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case that could not run: ends the processes that it started.
pub fn cannot(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    for pid in STARTED.lock().map(|all| all.clone()).unwrap_or_default() {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
    std::process::exit(2)
}

fn forget(pid: u32) {
    if let Ok(mut all) = STARTED.lock() {
        all.retain(|known| *known != pid);
    }
}

#[derive(Clone, Copy)]
struct Ports {
    packets: u16,
    readiness: u16,
    control: u16,
    outbound: u16,
    app: u16,
    internal: u16,
}

/// Addresses of this run: a network of its own under 127.0.0.0/8, and ports free on all of it.
struct Network {
    base: [u8; 2],
    next: u8,
    ports: Ports,
}

impl Network {
    fn draw() -> Self {
        let pid = std::process::id();
        let base = [10 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        let mut port = 21_000 + (pid % 97) as u16 * 100;
        let mut free = || loop {
            port += 1;
            let any = (Ipv4Addr::UNSPECIFIED, port);
            if TcpListener::bind(any).is_ok() && UdpSocket::bind(any).is_ok() {
                return port;
            }
        };
        let ports = Ports {
            packets: free(),
            readiness: free(),
            control: free(),
            outbound: free(),
            app: free(),
            internal: free(),
        };
        Self {
            base,
            next: 1,
            ports,
        }
    }

    fn address(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::new(127, self.base[0], self.base[1], self.next)
    }
}

/// A program on a machine.
pub struct Daemon {
    pub name: String,
    program: &'static str,
    file: PathBuf,
    log: PathBuf,
    child: Child,
    record: Arc<Record>,
}

impl Daemon {
    fn start(
        folder: &Path,
        name: String,
        program: &'static str,
        settings: &str,
        record: &Arc<Record>,
    ) -> Self {
        let file = folder.join(format!("{name}.conf"));
        if let Err(error) = std::fs::write(&file, settings) {
            cannot(&format!("settings of {name}: {error}"));
        }
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &file, &log);
        record.line(&format!("{name} starts"));
        Self {
            name,
            program,
            file,
            log,
            child,
            record: Arc::clone(record),
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Stops the program as the platform does: SIGTERM, and SIGKILL after the grace time.
    pub fn stop(&mut self) {
        self.record.line(&format!("{} gets SIGTERM", self.name));
        self.signal("-TERM");
        let start = Instant::now();
        while start.elapsed() < GRACE {
            if let Ok(Some(_)) = self.child.try_wait() {
                forget(self.child.id());
                return self.record.line(&format!("{} has ended", self.name));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
        self.record.line(&format!("{} is killed", self.name));
    }

    /// Starts the program again with the same settings; `bootstrap` is true at the first start only.
    pub fn start_again(&mut self) {
        std::thread::sleep(RESTART_DELAY);
        if let Ok(settings) = std::fs::read_to_string(&self.file) {
            let later = settings.replace("\"bootstrap\": true", "\"bootstrap\": false");
            let _ = std::fs::write(&self.file, later);
        }
        self.child = spawn(self.program, &self.file, &self.log);
        self.record.line(&format!("{} starts again", self.name));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &str, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let Ok(output) = output else {
        cannot("the temporary folder can't be written")
    };
    let errors = output.try_clone();
    let Ok(errors) = errors else {
        cannot("no file descriptors left")
    };
    let child = Command::new(program)
        .env("JACINTHSILL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn();
    let child = child.unwrap_or_else(|error| cannot(&format!("{program}: {error}")));
    if let Ok(mut all) = STARTED.lock() {
        all.push(child.id());
    }
    child
}

/// A machine beside a host.
pub struct Side {
    pub agent: Daemon,
    pub host: Arc<Host>,
}

pub struct Deployment {
    network: Network,
    folder: PathBuf,
    seeds: Vec<SocketAddrV4>,
    pub balancers: Vec<Daemon>,
    pub replicas: Vec<Daemon>,
    pub sides: Vec<Side>,
    pub router: Arc<Router>,
    pub record: Arc<Record>,
}

impl Deployment {
    /// Starts three machines with balancer and control, then one with an agent for each host, in
    /// turn in each zone.
    pub fn start(folder: &Path, record: &Arc<Record>, services: &[&str]) -> Self {
        let zones = ZONES.into_iter().cycle();
        let hosts: Vec<_> = services.iter().copied().zip(zones).collect();
        Self::start_in(folder, record, &hosts)
    }

    /// The same with the zone of each host.
    pub fn start_in(folder: &Path, record: &Arc<Record>, hosts: &[(&str, &str)]) -> Self {
        let mut network = Network::draw();
        let ips: Vec<_> = ZONES.iter().map(|_| network.address()).collect();
        let ports = network.ports;
        let seeds: Vec<_> = ips
            .iter()
            .map(|ip| SocketAddrV4::new(*ip, ports.control))
            .collect();
        let (mut balancers, mut replicas, mut exits) = (Vec::new(), Vec::new(), Vec::new());
        for (zone, ip) in ZONES.iter().zip(&ips) {
            let machine = format!("frontend-{zone}");
            let data = folder.join(&machine);
            let control = control_settings(&machine, zone, *ip, &ports, &data, &seeds);
            let name = format!("{machine}-control");
            replicas.push(Daemon::start(
                folder,
                name,
                "target/release/platform-control",
                &control,
                record,
            ));
            let balancer = balancer_settings(&machine, zone, *ip, &ports, &seeds);
            let name = format!("{machine}-balancer");
            balancers.push(Daemon::start(
                folder,
                name,
                "target/release/platform-balancer",
                &balancer,
                record,
            ));
            let at = |port| SocketAddrV4::new(*ip, port);
            exits.push((at(ports.packets), at(ports.readiness)));
        }
        let mut deployment = Self {
            network,
            folder: folder.to_owned(),
            seeds,
            balancers,
            replicas,
            sides: Vec::new(),
            router: Router::start(exits, record),
            record: Arc::clone(record),
        };
        for (service, zone) in hosts {
            deployment.add_side(service, zone, Duration::ZERO);
        }
        deployment
    }

    /// Adds a machine with its daemon, and starts the host there a while after the daemon listens.
    pub fn add_side(&mut self, service: &str, zone: &str, pause: Duration) -> usize {
        let ip = self.network.address();
        let ports = self.network.ports;
        let at = |port| SocketAddrV4::new(ip, port);
        let index = self.sides.len();
        let machine = format!("side-{index}");
        let settings = agent_settings(&machine, zone, ip, &ports, service, &self.seeds);
        let name = format!("{machine}-agent");
        let agent = Daemon::start(
            &self.folder,
            name,
            "target/release/platform-agent",
            &settings,
            &self.record,
        );
        let start = Instant::now();
        while http::call(
            at(ports.readiness),
            "GET",
            "/readiness",
            &[],
            Duration::from_millis(200),
        )
        .is_none()
        {
            if start.elapsed() > Duration::from_secs(10) {
                cannot("an agent doesn't start");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        std::thread::sleep(pause);
        let host = HostSettings {
            id: format!("i-{index}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            app: at(ports.app),
            outbound: at(ports.outbound),
            control: at(ports.control),
            slots: 4,
            heartbeat: HEARTBEAT,
        };
        self.sides.push(Side {
            agent,
            host: Host::start(host, &self.record),
        });
        index
    }

    /// Adds a machine with a balancer to the first zone.
    pub fn add_balancer(&mut self) {
        let ip = self.network.address();
        let ports = self.network.ports;
        let machine = format!("frontend-spare-{}", self.balancers.len());
        let settings = balancer_settings(&machine, ZONES[0], ip, &ports, &self.seeds);
        let name = format!("{machine}-balancer");
        let program = "target/release/platform-balancer";
        self.balancers.push(Daemon::start(
            &self.folder,
            name,
            program,
            &settings,
            &self.record,
        ));
        let at = |port| SocketAddrV4::new(ip, port);
        self.router.add(at(ports.packets), at(ports.readiness));
    }

    pub fn client(&mut self) -> Arc<Client> {
        let ip = self.network.address();
        Client::start(ip, self.network.ports.packets, &self.router, &self.record)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, document: &str) {
        let start = Instant::now();
        for daemon in self.seeds.iter().cycle() {
            let reply = http::follow(*daemon, "POST", "/Config.Replace", document.as_bytes());
            let status = reply.map(|reply| reply.status);
            self.record.line(&format!(
                "operator sends a configuration to {daemon}: {status:?}"
            ));
            match status {
                Some(200) => return,
                Some(status @ 400..500) => cannot(&format!("a valid configuration gets {status}")),
                _ if start.elapsed() > Duration::from_secs(20) => cannot("no acknowledgement"),
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
    }

    /// Waits until all balancers are in rotation.
    pub fn wait_ready(&self) {
        let start = Instant::now();
        while self.router.ready() < self.balancers.len() {
            if start.elapsed() > Duration::from_secs(20) {
                cannot("a balancer doesn't get ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Opens a flow, from new ports until it does.
    pub fn open(&self, client: &Arc<Client>, route: SocketAddrV4) -> Flow {
        let start = Instant::now();
        loop {
            match client.open(route) {
                Ok(flow) => return flow,
                Err(Failure::Refused | Failure::Unopened)
                    if start.elapsed() < Duration::from_secs(20) => {}
                Err(error) => cannot(&format!("no flow opens: {error:?}")),
            }
        }
    }

    /// Host that holds a flow open.
    pub fn holder(&self, flow: &Flow) -> Option<usize> {
        self.sides
            .iter()
            .position(|side| side.host.holds(flow.local, flow.route))
    }

    /// Copies the log lines of the programs that hold one of the texts into the record.
    pub fn copy_log_lines(&self, texts: &[&str], most: usize) {
        let daemons = self.balancers.iter().chain(&self.replicas);
        for daemon in daemons.chain(self.sides.iter().map(|side| &side.agent)) {
            let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            for line in lines.take(most) {
                self.record.line(&format!("log of {}: {line}", daemon.name));
            }
        }
    }

    /// Ends all programs and hosts.
    pub fn end(mut self) {
        for side in &self.sides {
            side.host.stop();
        }
        for daemon in self.balancers.iter_mut().chain(&mut self.replicas) {
            daemon.kill();
        }
        for side in &mut self.sides {
            side.agent.kill();
        }
    }
}

fn list(seeds: &[SocketAddrV4]) -> String {
    let quoted: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    quoted.join(",")
}

fn control_settings(
    machine: &str,
    zone: &str,
    ip: Ipv4Addr,
    ports: &Ports,
    data: &Path,
    seeds: &[SocketAddrV4],
) -> String {
    format!(
        r#"{{
  "host": "{machine}",
  "centre": "{zone}",
  "listen": "{ip}:{control}",
  "folder": "{data}",
  "observer": false,
  "deployment": "platform",
  "group": {{ "seeds": [{seeds}], "bootstrap": true, "tolerated": 1 }},
  "metrics": {{ "listen": "{ip}:9102" }},
  "files": {{ "snapshot": 4194304, "tail": 32, "segment": 1048576 }}
}}"#,
        control = ports.control,
        data = data.display(),
        seeds = list(seeds),
    )
}

fn identity(machine: &str, zone: &str, seeds: &[SocketAddrV4]) -> String {
    let seeds = list(seeds);
    format!(
        r#"{{ "host": "{machine}", "centre": "{zone}", "control": [{seeds}], "deployment": "platform" }}"#
    )
}

fn balancer_settings(
    machine: &str,
    zone: &str,
    ip: Ipv4Addr,
    ports: &Ports,
    seeds: &[SocketAddrV4],
) -> String {
    format!(
        r#"{{
  "balancer": {{
    "identity": {identity},
    "packets": "{ip}:{packets}",
    "link_mbps": 1000.0,
    "notices": "{ip}:{internal}"
  }},
  "http": "{ip}:{readiness}",
  "grace_s": 6,
  "metrics": {{ "listen": "{ip}:9101" }}
}}"#,
        identity = identity(machine, zone, seeds),
        packets = ports.packets,
        internal = ports.internal,
        readiness = ports.readiness,
    )
}

fn agent_settings(
    machine: &str,
    zone: &str,
    ip: Ipv4Addr,
    ports: &Ports,
    service: &str,
    seeds: &[SocketAddrV4],
) -> String {
    format!(
        r#"{{
  "identity": {identity},
  "service": "{service}",
  "packets": "{ip}:{packets}",
  "outbound": "{ip}:{outbound}",
  "backend": "{ip}:{app}",
  "reports": "{ip}:{control}",
  "interval_ms": {heartbeat},
  "http": "{ip}:{readiness}",
  "metrics": {{ "listen": "{ip}:9103" }}
}}"#,
        identity = identity(machine, zone, seeds),
        packets = ports.packets,
        outbound = ports.outbound,
        app = ports.app,
        control = ports.control,
        readiness = ports.readiness,
        heartbeat = HEARTBEAT.as_millis(),
    )
}

/// A configuration: routes as port and the JSON of `service` or `backends`.
pub fn document(version: u64, routes: &[(u16, String)], services: &[&str]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|(port, target)| {
            format!(
                r#"{{"name":"r-{port}","hostname":"{ROUTE_IP}","path_prefix":"/{port}/","type":"unsafe","timeout_ms":5000,"target_latency_ms":500,"priority":1,{target},"max_attempts":2}}"#
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_connections":2000,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
