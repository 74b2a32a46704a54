//! A deployment in small.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use faults::{Plan, TcpProxy, UdpProxy};
use load::backend::{Backend, BackendSettings, Mode};
use load::caller::Caller;
use load::fabric::{Fabric, FabricSettings};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::operator::Operator;
use crate::{LIMIT, Process, eventually};

/// Secret of the tests.
pub const KEY: [u8; 32] = [0x5a; 32];

/// What a cluster consists of.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Control replicas.
    pub controls: u64,
    /// Balancers.
    pub balancers: usize,
    /// Agents of the HTTP service.
    pub web: usize,
    /// Agents of the TCP service.
    pub echo: usize,
    /// Slots of each backend server.
    pub slots: usize,
    /// Service time in ms of the backend servers.
    pub service_ms: u64,
    /// Plan of the proxies between fabric and balancers.
    pub packets: Plan,
    /// Plan of the proxy between agents and fabric.
    pub answers: Plan,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            controls: 3,
            balancers: 3,
            web: 0,
            echo: 0,
            slots: 2,
            service_ms: 1,
            packets: Plan::default(),
            answers: Plan::default(),
            seed: 1,
        }
    }
}

/// A balancer with the proxy in front of it.
#[derive(Debug)]
pub struct BalancerNode {
    /// Host.
    pub host: String,
    /// Process.
    pub process: Process,
    /// Between fabric and balancer.
    pub packets: UdpProxy,
    /// Between balancer and each control replica.
    pub control: Vec<TcpProxy>,
}

/// An agent with its backend server.
#[derive(Debug)]
pub struct AgentNode {
    /// Host.
    pub host: String,
    /// Service.
    pub service: String,
    /// Process.
    pub process: Process,
    /// Address for packets.
    pub packets: SocketAddrV4,
    /// Address of the HTTP interface.
    pub http: SocketAddrV4,
    /// Between agent and each control replica.
    pub control: Vec<TcpProxy>,
}

/// A control replica.
#[derive(Debug)]
pub struct ControlNode {
    /// Process.
    pub process: Process,
    /// Address.
    pub address: SocketAddrV4,
    settings: Value,
}

/// A running deployment.
#[derive(Debug)]
pub struct Cluster {
    folder: TempDir,
    /// Shape at the start.
    pub shape: Shape,
    /// Control replicas by id.
    pub controls: BTreeMap<u64, ControlNode>,
    /// Proxies between control replicas, by the ids of sender and receiver.
    pub links: BTreeMap<(u64, u64), TcpProxy>,
    /// Balancers.
    pub balancers: Vec<BalancerNode>,
    /// Agents.
    pub agents: Vec<AgentNode>,
    /// Backend servers by host.
    pub backends: BTreeMap<String, Backend>,
    /// Fabric.
    pub fabric: Fabric,
    answers: UdpProxy,
    /// Operator.
    pub operator: Operator,
    next: usize,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts everything and waits until all backend servers take work.
    ///
    /// # Panics
    /// When a part does not start in time.
    pub async fn start(shape: Shape) -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let key = "5a".repeat(32);
        std::fs::write(folder.path().join("key.hex"), key).expect("a writable folder");
        let fabric = Fabric::start(FabricSettings {
            seed: shape.seed,
            ..FabricSettings::default()
        });
        let fabric = fabric.expect("a free port");
        let target = fabric.address().expect("a bound socket");
        let answers = UdpProxy::start(any(), target, shape.answers, shape.seed).await;
        let mut cluster = Self {
            folder,
            shape: shape.clone(),
            controls: BTreeMap::new(),
            links: BTreeMap::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: BTreeMap::new(),
            fabric,
            answers: answers.expect("a free port"),
            operator: Operator::new(Vec::new()),
            next: 0,
        };
        cluster.start_controls().await;
        cluster.write_declarations(|_| {});
        cluster.operator.apply(&cluster.declarations(), LIMIT).await;
        for _ in 0..shape.balancers {
            cluster.add_balancer().await;
        }
        for _ in 0..shape.web {
            cluster.add_agent("web").await;
        }
        for _ in 0..shape.echo {
            cluster.add_agent("echo").await;
        }
        let hosts: Vec<_> = cluster.agents.iter().map(|a| a.host.clone()).collect();
        for host in hosts {
            cluster.serving(&host).await;
        }
        cluster.in_force().await;
        cluster
    }

    /// Folder of the declarations.
    #[must_use]
    pub fn declarations(&self) -> PathBuf {
        self.folder.path().join("declarations")
    }

    /// Folder of everything.
    #[must_use]
    pub fn path(&self) -> &Path {
        self.folder.path()
    }

    /// Writes the declarations after a change of the profile of the HTTP service.
    ///
    /// # Panics
    /// When the folder is not writable.
    pub fn write_declarations(&self, change: impl FnOnce(&mut Value)) {
        let folder = self.declarations();
        let mut web = web_profile();
        change(&mut web);
        let service = |name: &str, tenant: &str, profile: &str, address: SocketAddrV4| json!({"name": name, "tenant": tenant, "profile": profile, "address": address});
        let file = json!({
            "profiles": [web, {"name": "echo", "protocol": "tcp", "health": {"interval_ms": 200}}],
            "services": [
                service("web", "masa-viva", "web", crate::WEB),
                service("echo", "masa-viva", "echo", crate::ECHO),
                service("rival", "rival", "echo", crate::RIVAL),
            ]
        });
        std::fs::create_dir_all(&folder).expect("a writable folder");
        std::fs::write(folder.join("all.jsonc"), file.to_string()).expect("a writable folder");
    }

    async fn start_controls(&mut self) {
        let ids = 1..=self.shape.controls;
        let addresses: BTreeMap<u64, SocketAddrV4> =
            ids.clone().map(|id| (id, ports::free())).collect();
        for from in ids.clone() {
            for to in ids.clone().filter(|to| *to != from) {
                let link = TcpProxy::start(any(), addresses[&to].into(), Plan::default(), from);
                let link = link.await.expect("a free port");
                self.links.insert((from, to), link);
            }
        }
        for id in ids {
            let peers: Vec<_> = addresses
                .iter()
                .map(|(to, address)| json!({"id": to, "address": address}))
                .collect();
            let routes: Vec<_> = addresses
                .iter()
                .filter_map(|(to, address)| {
                    let link = self.links.get(&(id, *to))?;
                    Some(json!({"to": address, "via": link.address()}))
                })
                .collect();
            let host = format!("control-{id}");
            let settings = json!({
                "id": id, "host": host, "centre": "dc-1", "region": 0,
                "listen": addresses[&id], "folder": self.path().join(&host),
                "key_file": self.key_file(), "peers": peers, "join": false, "routes": routes
            });
            let process = Process::start(self.path(), "control", &host, &settings);
            let node = ControlNode {
                process,
                address: addresses[&id],
                settings,
            };
            self.controls.insert(id, node);
        }
        for control in self.controls.values() {
            control.process.ready().await;
        }
        self.operator = Operator::new(self.control_addresses());
        let operator = self.operator.clone();
        eventually("control has a leader", LIMIT, async || {
            operator.status().await.is_some()
        })
        .await;
    }

    /// Starts a control replica again after it ended.
    ///
    /// # Panics
    /// When there is no such replica.
    pub async fn restart_control(&mut self, id: u64) {
        self.launch_control(id);
        self.controls[&id].process.ready().await;
    }

    /// The same without waiting until it is ready.
    ///
    /// # Panics
    /// When there is no such replica.
    pub fn launch_control(&mut self, id: u64) {
        let folder = self.folder.path().to_owned();
        let node = self.controls.get_mut(&id).expect("a known replica");
        let name = format!("control-{id}");
        node.process = Process::start(&folder, "control", &name, &node.settings);
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.values().map(|c| c.address.into()).collect()
    }

    /// Proxies of one node to the control replicas, and its routes through them.
    async fn control_proxies(&self, seed: u64) -> (Vec<TcpProxy>, Vec<Value>) {
        let (mut proxies, mut routes) = (Vec::new(), Vec::new());
        for address in self.control_addresses() {
            let proxy = TcpProxy::start(any(), address, Plan::default(), seed).await;
            let proxy = proxy.expect("a free port");
            routes.push(json!({"to": address, "via": proxy.address()}));
            proxies.push(proxy);
        }
        (proxies, routes)
    }

    fn key_file(&self) -> PathBuf {
        self.path().join("key.hex")
    }

    /// Starts another balancer and lets the fabric use it.
    ///
    /// # Panics
    /// When it does not start in time.
    pub async fn add_balancer(&mut self) {
        self.next += 1;
        let host = format!("balancer-{}", self.next);
        let seed = self.shape.seed + self.next as u64;
        let (control, routes) = self.control_proxies(seed).await;
        let packets = ports::free();
        let settings = json!({
            "host": host, "centre": "dc-1", "region": 0, "packets": packets,
            "control": self.control_addresses(), "key_file": self.key_file(),
            "linger_ms": 500, "routes": routes
        });
        let process = Process::start(self.path(), "balancer", &host, &settings);
        process.ready().await;
        let proxy = UdpProxy::start(any(), packets.into(), self.shape.packets, seed).await;
        let node = BalancerNode {
            host,
            process,
            packets: proxy.expect("a free port"),
            control,
        };
        self.balancers.push(node);
        self.use_balancers(|_| true);
    }

    /// Lets the fabric use the balancers of these indexes.
    pub fn use_balancers(&self, choose: impl Fn(usize) -> bool) {
        let chosen = self.balancers.iter().enumerate();
        let chosen = chosen.filter(|(index, _)| choose(*index));
        let exits = chosen.map(|(_, node)| node.packets.address().into());
        self.fabric.set_balancers(exits.collect());
    }

    /// Starts a backend server with its agent; returns its index.
    ///
    /// # Panics
    /// When it does not start in time.
    pub async fn add_agent(&mut self, service: &str) -> usize {
        self.next += 1;
        let host = format!("{service}-{}", self.next);
        self.start_agent(service, &host, ports::free()).await
    }

    /// Starts an agent on an address for packets; its backend server too, unless it runs.
    ///
    /// # Panics
    /// When it does not start in time.
    pub async fn start_agent(&mut self, service: &str, host: &str, packets: SocketAddrV4) -> usize {
        let mode = if service == "web" {
            Mode::Http
        } else {
            Mode::Echo
        };
        if !self.backends.contains_key(host) {
            let mut settings = BackendSettings {
                host: host.into(),
                mode,
                slots: self.shape.slots,
                seed: self.shape.seed,
                ..BackendSettings::default()
            };
            settings.behaviour.service_ms = self.shape.service_ms;
            let backend = Backend::start(settings).await.expect("a free port");
            self.backends.insert(host.into(), backend);
        }
        let http = ports::free();
        let (control, routes) = self.control_proxies(self.shape.seed).await;
        let settings = json!({
            "host": host, "centre": "dc-1", "region": 0, "service": service,
            "packets": packets, "http": http, "fabric": self.answers.address(),
            "backend": self.backends[host].address(), "slots": self.shape.slots,
            "weight": 100, "control": self.control_addresses(), "key_file": self.key_file(),
            "routes": routes
        });
        let process = Process::start(self.path(), "agent", host, &settings);
        process.ready().await;
        self.agents.push(AgentNode {
            host: host.into(),
            service: service.into(),
            process,
            packets,
            http,
            control,
        });
        self.agents.len() - 1
    }

    /// Waits until control counts a backend server as serving.
    pub async fn serving(&self, host: &str) {
        let what = format!("{host} serves");
        eventually(&what, LIMIT, async || {
            self.member_state(host).await.as_deref() == Some("serving")
        })
        .await;
    }

    /// Newest state of a member in the audit record.
    pub async fn member_state(&self, host: &str) -> Option<String> {
        let audit = self.operator.audit().await?;
        audit.iter().rev().find_map(|entry| match &entry.event {
            api::AuditEvent::Member { host: at, state } if at.as_str() == host => {
                Some(state.to_string())
            }
            _ => None,
        })
    }

    /// Waits until the newest configuration is in force at every live node.
    pub async fn in_force(&self) {
        eventually("in force everywhere", LIMIT, async || {
            let status = self.operator.status().await;
            status
                .is_some_and(|status| status.pending.is_none() && status.in_force >= status.config)
        })
        .await;
    }

    /// Id of the leader.
    pub async fn leader(&self) -> Option<u64> {
        for (id, node) in &self.controls {
            let operator = Operator::new(vec![node.address.into()]);
            if operator.status().await.is_some() {
                return Some(*id);
            }
        }
        None
    }

    /// Cuts or heals the links of a control replica to the others.
    pub fn isolate(&self, id: u64, cut: bool) {
        let plan = if cut {
            Plan::partition()
        } else {
            Plan::default()
        };
        for ((from, to), link) in &self.links {
            if *from == id || *to == id {
                link.set(plan).expect("a valid plan");
            }
        }
    }

    /// Callers with addresses in 10.`net`.0.0/16.
    #[must_use]
    pub fn caller(&self, net: u8) -> Caller {
        Caller::new(self.fabric.clone(), net, self.shape.seed)
    }

    /// Replaces the plan in front of every balancer.
    pub fn set_packets(&self, plan: Plan) {
        for node in &self.balancers {
            node.packets.set(plan).expect("a valid plan");
        }
    }

    /// Record entries of all backend servers of the HTTP service.
    #[must_use]
    pub fn entries(&self) -> Vec<load::backend::Entry> {
        let entries = self.backends.values().map(|b| b.record().entries());
        entries.flatten().collect()
    }

    /// Waits a time; for bounds that count from an event.
    pub async fn pause(&self, ms: u64) {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Profile of the HTTP service.
fn web_profile() -> Value {
    json!({
        "name": "web", "protocol": "http",
        "classes": [
            {"name": "change", "method": "POST", "path": "/subscriptions", "tier": "critical",
             "short": true, "idempotent": false, "deadline_ms": 5000},
            {"name": "order", "method": "POST", "path": "/orders", "short": true,
             "idempotent": false, "deadline_ms": 4000},
            {"name": "board", "method": "GET", "path": "/board", "stream": true,
             "idempotent": true, "deadline_ms": 60000},
            {"name": "report", "method": "GET", "path": "/reports", "tier": "bulk",
             "idempotent": true, "deadline_ms": 10000},
            {"name": "page", "method": "GET", "path": "/", "short": true,
             "idempotent": true, "deadline_ms": 3000},
            {"name": "other", "path": "/", "short": true,
             "idempotent": false, "deadline_ms": 3000}
        ],
        "concurrency": {"queue": 64, "reserved": 1, "long_ms": 250},
        "retry": {"budget": 10, "attempts": 2},
        "health": {"path": "/health", "interval_ms": 200}
    })
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Its logs tell the cause.
            self.folder.disable_cleanup(true);
            eprintln!("settings and logs: {}", self.folder.path().display());
        }
    }
}
