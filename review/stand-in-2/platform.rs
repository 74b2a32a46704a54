//! The machines of a small deployment: the project's programs with settings as in `deploy/`.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::host::Addresses;
use crate::support::{Record, call, random, unix_ms};

const CONTROLS: u8 = 3;

#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub packets: u16,
    pub readiness: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub notices: u16,
    metrics: [u16; 3],
}

/// Ports that are free at an address of each kind of machine, all different.
fn free_ports<const N: usize>() -> [u16; N] {
    let mut found = [0; N];
    for at in 0..N {
        while found[at] == 0 {
            let port = 20_000 + (random() % 12_000) as u16;
            let free = [10, 20, 30, 40].into_iter().all(|kind| {
                let address = SocketAddrV4::new(Ipv4Addr::new(127, 0, kind, 1), port);
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            });
            if free && !found.contains(&port) {
                found[at] = port;
            }
        }
    }
    found
}

pub struct Platform {
    folder: PathBuf,
    pub ports: Ports,
    processes: HashMap<String, (Child, Command)>,
    pub record: Record,
}

impl Platform {
    pub fn new(record: Record) -> std::io::Result<Self> {
        let name = format!("review-2-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let [
            packets,
            readiness,
            control,
            outbound,
            app,
            notices,
            m1,
            m2,
            m3,
        ] = free_ports();
        let ports = Ports {
            packets,
            readiness,
            control,
            outbound,
            app,
            notices,
            metrics: [m1, m2, m3],
        };
        Ok(Self {
            folder,
            ports,
            processes: HashMap::new(),
            record,
        })
    }

    pub fn control_address(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 10, number), self.ports.control)
    }

    fn seeds(&self) -> String {
        let all = (1..=CONTROLS).map(|n| format!("\"{}\"", self.control_address(n)));
        all.collect::<Vec<_>>().join(", ")
    }

    fn identity(&self, name: &str, zone: &str) -> String {
        format!(
            "{{ \"host\": \"{name}\", \"centre\": \"{zone}\", \"control\": [{}], \"deployment\": \"platform\" }}",
            self.seeds()
        )
    }

    fn spawn(&mut self, name: &str, program: &str, settings: &str) -> std::io::Result<()> {
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings)?;
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(format!("target/release/{program}"));
        command
            .env("JACINTHSILL_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let child = command.spawn()?;
        self.record.line(&format!("{name} starts"));
        self.processes.insert(name.to_owned(), (child, command));
        Ok(())
    }

    pub fn start_controls(&mut self) -> std::io::Result<()> {
        for number in 1..=CONTROLS {
            let at = self.control_address(number);
            let name = format!("control-{number}");
            let settings = format!(
                "{{ \"host\": \"{name}\", \"centre\": \"z{number}\", \"listen\": \"{at}\", \"folder\": \"{}\",\n\
                 \"observer\": false, \"deployment\": \"platform\",\n\
                 \"group\": {{ \"seeds\": [{}], \"bootstrap\": true, \"tolerated\": 1 }},\n\
                 \"metrics\": {{ \"listen\": \"{}:{}\" }},\n\
                 \"files\": {{ \"snapshot\": 4194304, \"tail\": 32, \"segment\": 1048576 }} }}",
                self.folder.join(format!("data-{number}")).display(),
                self.seeds(),
                at.ip(),
                self.ports.metrics[0],
            );
            self.spawn(&name, "platform-control", &settings)?;
        }
        Ok(())
    }

    pub fn balancer_ip(number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, 20, number)
    }

    pub fn start_balancer(&mut self, number: u8, zone: &str) -> std::io::Result<()> {
        let (ip, ports, name) = (
            Self::balancer_ip(number),
            self.ports,
            format!("balancer-{number}"),
        );
        let settings = format!(
            "{{ \"balancer\": {{ \"identity\": {}, \"packets\": \"{ip}:{}\", \"link_mbps\": 1000.0,\n\
             \"notices\": \"{ip}:{}\" }}, \"http\": \"{ip}:{}\", \"grace_s\": 6,\n\
             \"metrics\": {{ \"listen\": \"{ip}:{}\" }} }}",
            self.identity(&name, zone),
            ports.packets,
            ports.notices,
            ports.readiness,
            ports.metrics[1],
        );
        self.spawn(&name, "platform-balancer", &settings)
    }

    pub fn side_ip(number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, 30, number)
    }

    pub fn host_addresses(&self, number: u8) -> Addresses {
        let (ip, ports) = (Self::side_ip(number), self.ports);
        Addresses {
            app: SocketAddrV4::new(ip, ports.app),
            outbound: SocketAddrV4::new(ip, ports.outbound),
            control: SocketAddrV4::new(ip, ports.control),
        }
    }

    pub fn start_agent(&mut self, number: u8, zone: &str, service: &str) -> std::io::Result<()> {
        let (ip, ports, name) = (Self::side_ip(number), self.ports, format!("agent-{number}"));
        let settings = format!(
            "{{ \"identity\": {}, \"service\": \"{service}\", \"packets\": \"{ip}:{}\", \"outbound\": \"{ip}:{}\",\n\
             \"backend\": \"{ip}:{}\", \"reports\": \"{ip}:{}\", \"interval_ms\": 1200, \"http\": \"{ip}:{}\",\n\
             \"metrics\": {{ \"listen\": \"{ip}:{}\" }} }}",
            self.identity(&name, zone),
            ports.packets,
            ports.outbound,
            ports.app,
            ports.control,
            ports.readiness,
            ports.metrics[2],
        );
        self.spawn(&name, "platform-agent", &settings)
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&mut self, name: &str, signal: &str) {
        if let Some((child, _)) = self.processes.get(name) {
            self.record.line(&format!("{name} gets SIG{signal}"));
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Waits until a process has ended, then starts it again with the same settings.
    pub fn restart(&mut self, name: &str, delay: Duration) -> std::io::Result<()> {
        if let Some((child, command)) = self.processes.get_mut(name) {
            child.wait()?;
            self.record.line(&format!("{name} has ended"));
            sleep(delay);
            *child = command.spawn()?;
            self.record.line(&format!("{name} starts again"));
        }
        Ok(())
    }

    /// Whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.processes
            .values_mut()
            .all(|(child, _)| matches!(child.try_wait(), Ok(None)))
    }

    /// Calls any control replica until it acknowledges the configuration.
    pub fn configure(&self, body: &str, limit: Duration) -> bool {
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < limit {
            number = number % CONTROLS + 1;
            let mut to = SocketAddr::V4(self.control_address(number));
            for _ in 0..3 {
                match call(to, "POST", "/Config.Replace", body, Duration::from_secs(1)) {
                    Ok(response) if response.status == 200 => {
                        self.record.line("configuration acknowledged");
                        return true;
                    }
                    Ok(response) if response.status == 307 => {
                        let location = response.location.unwrap_or_default();
                        let address = location.trim_start_matches("http://").split('/').next();
                        match address.and_then(|a| a.parse().ok()) {
                            Some(next) => to = next,
                            None => break,
                        }
                    }
                    Ok(response) => {
                        self.record.line(&format!(
                            "configuration: {} {}",
                            response.status, response.body
                        ));
                        break;
                    }
                    Err(_) => break,
                }
            }
            sleep(Duration::from_millis(150));
        }
        false
    }

    /// Waits until a daemon is ready.
    pub fn wait_ready(&self, ip: Ipv4Addr, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if is_ready(SocketAddrV4::new(ip, self.ports.readiness)) {
                return true;
            }
            sleep(Duration::from_millis(30));
        }
        false
    }

    /// Copies the logs of the processes beside the record, if asked for.
    fn keep_logs(&self) {
        if let Some(to) = std::env::var_os("KEEP_LOGS") {
            let _ = Command::new("cp")
                .arg("-r")
                .arg(&self.folder)
                .arg(to)
                .status();
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for (child, _) in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.keep_logs();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(at: SocketAddrV4) -> bool {
    let response = call(
        SocketAddr::V4(at),
        "GET",
        "/readiness",
        "",
        Duration::from_millis(400),
    );
    response.is_ok_and(|r| r.status == 200)
}

/// Routers of one zone: probe the daemons twice a second and hash flows over those in rotation.
pub struct Router {
    rotation: Mutex<Vec<(SocketAddrV4, bool)>>,
}

impl Router {
    pub fn start(
        balancers: &[u8],
        ports: Ports,
        alive: &Arc<AtomicBool>,
        record: &Record,
    ) -> Arc<Self> {
        let packets = |n: &u8| {
            (
                SocketAddrV4::new(Platform::balancer_ip(*n), ports.packets),
                true,
            )
        };
        let router = Arc::new(Self {
            rotation: Mutex::new(balancers.iter().map(packets).collect()),
        });
        for (index, number) in balancers.iter().enumerate() {
            let (router, alive, record) = (Arc::clone(&router), Arc::clone(alive), record.clone());
            let at = SocketAddrV4::new(Platform::balancer_ip(*number), ports.readiness);
            std::thread::spawn(move || {
                let mut misses = 0;
                while alive.load(Ordering::Acquire) {
                    misses = if is_ready(at) { 0 } else { misses + 1 };
                    let ready = misses < 2;
                    let before =
                        std::mem::replace(&mut router.rotation.lock().unwrap()[index].1, ready);
                    if before != ready {
                        record.line(&format!("routers: {} in rotation: {ready}", at.ip()));
                    }
                    sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    /// Daemon for the packets of a client's port.
    pub fn pick(&self, port: u16) -> Option<SocketAddrV4> {
        let rotation = self.rotation.lock().unwrap();
        let ready: Vec<_> = rotation
            .iter()
            .filter(|(_, ready)| *ready)
            .map(|(at, _)| *at)
            .collect();
        // With none in rotation, the caller asks another zone; with fewer than half, all are used.
        if ready.is_empty() {
            return None;
        }
        let all: Vec<_> = rotation.iter().map(|(at, _)| *at).collect();
        let from = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let hash = u32::from(port).wrapping_mul(0x9e37_79b1) >> 16;
        from.get(hash as usize % from.len().max(1)).copied()
    }
}

/// A configuration with these routes, each to one service.
pub fn configuration_of(
    version: u64,
    routes: &[(SocketAddrV4, &str)],
    services: &[&str],
) -> String {
    let routes = routes.iter().enumerate().map(|(index, (target, service))| {
        format!(
            "{{\"name\":\"r-{index}\",\"hostname\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"unsafe\",\
             \"timeout_ms\":2000,\"target_latency_ms\":250,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":2}}",
            target.ip(),
            target.port()
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let services = services.iter().map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services = services.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
