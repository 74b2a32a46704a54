//! A client of the platform, and the routers that forward its packets.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// One way between clients and balancers.
const CLIENT_DELAY: Duration = Duration::from_millis(1);
const SYN_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
const SYN_LIMIT: Duration = Duration::from_millis(1_400);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
/// Largest distance of a reset's number from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;
/// Flows that are idle for longer (`idle_timeout_ms`) or older (`flow_max_s`) may be discarded.
const IDLE_LIMIT: Duration = Duration::from_secs(15);
const AGE_LIMIT: Duration = Duration::from_secs(60);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

struct Exit {
    packets: SocketAddrV4,
    readiness: SocketAddrV4,
    missed: u32,
}

/// Routers with the scheme `mod`: a hash of the addresses over the daemons in rotation.
pub struct Router {
    exits: Mutex<Vec<Exit>>,
    record: Arc<Record>,
}

impl Router {
    pub fn start(exits: Vec<(SocketAddrV4, SocketAddrV4)>, record: &Arc<Record>) -> Arc<Self> {
        let count = exits.len();
        let exits = exits
            .into_iter()
            .map(|(packets, readiness)| Exit {
                packets,
                readiness,
                missed: MISSES,
            })
            .collect();
        let router = Arc::new(Self {
            exits: Mutex::new(exits),
            record: Arc::clone(record),
        });
        for index in 0..count {
            let router = Arc::clone(&router);
            std::thread::spawn(move || router.probe(index));
        }
        router
    }

    fn probe(&self, index: usize) {
        let readiness = self.exits.lock().unwrap()[index].readiness;
        loop {
            let began = Instant::now();
            let reply = http::call(
                readiness,
                "GET",
                "/readiness",
                &[],
                Duration::from_millis(450),
            );
            let ready = reply.is_some_and(|reply| reply.status == 200);
            {
                let mut exits = self.exits.lock().unwrap();
                let exit = &mut exits[index];
                let before = exit.missed < MISSES;
                exit.missed = if ready {
                    0
                } else {
                    exit.missed.saturating_add(1)
                };
                let after = exit.missed < MISSES;
                if before != after {
                    let way = if after { "joins" } else { "leaves" };
                    self.record
                        .line(&format!("balancer {} {way} the rotation", exit.packets));
                }
            }
            std::thread::sleep(PROBE_INTERVAL.saturating_sub(began.elapsed()));
        }
    }

    /// Adds a balancer to those that are probed.
    pub fn add(self: &Arc<Self>, packets: SocketAddrV4, readiness: SocketAddrV4) {
        let index = {
            let mut exits = self.exits.lock().unwrap();
            exits.push(Exit {
                packets,
                readiness,
                missed: MISSES,
            });
            exits.len() - 1
        };
        let router = Arc::clone(self);
        std::thread::spawn(move || router.probe(index));
    }

    pub fn ready(&self) -> usize {
        let exits = self.exits.lock().unwrap();
        exits.iter().filter(|exit| exit.missed < MISSES).count()
    }

    fn way(&self, packet: &Packet) -> Option<SocketAddrV4> {
        let exits = self.exits.lock().unwrap();
        let used: Vec<_> = exits.iter().filter(|exit| exit.missed < MISSES).collect();
        let hash = hash(packet.source, packet.target);
        let exit = used.get(hash as usize % used.len().max(1))?;
        Some(exit.packets)
    }
}

fn hash(a: SocketAddrV4, b: SocketAddrV4) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for end in [a, b] {
        for byte in end
            .ip()
            .octets()
            .into_iter()
            .chain(end.port().to_le_bytes())
        {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    hash ^ (hash >> 29)
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A reset before the flow was open.
    Refused,
    /// No answer to any SYN.
    Unopened,
    /// A reset of the system's own on the open flow.
    SystemReset,
    /// A reset that a host wrote.
    HostReset,
    /// No answer in time.
    Late,
}

pub struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Arc<Router>,
    flows: Mutex<HashMap<u16, Sender<(Packet, bool)>>>,
    next_port: AtomicU16,
    pub record: Arc<Record>,
}

impl Client {
    pub fn start(ip: Ipv4Addr, port: u16, router: &Arc<Router>, record: &Arc<Record>) -> Arc<Self> {
        let client = Arc::new(Self {
            ip,
            socket: UdpSocket::bind((ip, port)).expect("the client's address is free"),
            router: Arc::clone(router),
            flows: Mutex::default(),
            next_port: AtomicU16::new(20_001),
            record: Arc::clone(record),
        });
        let receiver = Arc::clone(&client);
        std::thread::spawn(move || receiver.receive());
        client
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            let raw = &buffer[..length];
            let Some((packet, genuine)) = Packet::decode(raw) else {
                continue;
            };
            let system = packet.is_system_reset(raw);
            if !genuine && !system {
                self.record
                    .line(&format!("client gets a forged packet {packet:?}"));
                continue;
            }
            if packet.has(RST) {
                let writer = if system { "the system" } else { "a host" };
                self.record.line(&format!(
                    "client port {} gets a reset of {writer}, seq {}",
                    packet.target.port(),
                    packet.seq
                ));
            }
            if let Some(flow) = self.flows.lock().unwrap().get(&packet.target.port()) {
                let _ = flow.send((packet, system));
            }
        }
    }

    fn send(&self, packet: &Packet) {
        std::thread::sleep(CLIENT_DELAY);
        if let Some(to) = self.router.way(packet) {
            let _ = self.socket.send_to(&packet.encode(), to);
        }
    }

    /// Opens a flow to a route from a new port.
    pub fn open(self: &Arc<Self>, route: SocketAddrV4) -> Result<Flow, Failure> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let local = SocketAddrV4::new(self.ip, port);
        let number = u32::from(port).wrapping_mul(0x9e37_79b9);
        let start = Instant::now();
        let mut copies = 0;
        loop {
            if copies < SYN_TIMES.len() && start.elapsed() >= SYN_TIMES[copies] {
                self.send(&Packet::new(local, route, SYN, number, copies as u32));
                copies += 1;
            }
            match packets.recv_timeout(Duration::from_millis(5)) {
                Ok((packet, _)) if packet.has(SYN | ACK) => {
                    let flow = Flow {
                        client: Arc::clone(self),
                        local,
                        route,
                        next_out: number.wrapping_add(1),
                        next_in: packet.seq.wrapping_add(1),
                        packets,
                        opened: Instant::now(),
                        used: Instant::now(),
                        covered: true,
                    };
                    flow.acknowledge();
                    return Ok(flow);
                }
                Ok((packet, _)) if packet.has(RST) => return Err(Failure::Refused),
                _ if start.elapsed() > SYN_LIMIT => return Err(Failure::Unopened),
                _ => {}
            }
        }
    }
}

pub struct Flow {
    client: Arc<Client>,
    pub local: SocketAddrV4,
    pub route: SocketAddrV4,
    next_out: u32,
    next_in: u32,
    packets: Receiver<(Packet, bool)>,
    opened: Instant,
    used: Instant,
    /// Whether the rule covered the flow when the last request began.
    pub covered: bool,
}

impl Flow {
    fn acknowledge(&self) {
        let packet = Packet::new(self.local, self.route, ACK, self.next_out, self.next_in);
        self.client.send(&packet);
    }

    /// A reset counts if its number is near the last acknowledgement.
    fn reset(&self, packet: &Packet, system: bool) -> Option<Failure> {
        let distance = packet.seq.wrapping_sub(self.next_in);
        let near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
        (packet.has(RST) && near).then_some(if system {
            Failure::SystemReset
        } else {
            Failure::HostReset
        })
    }

    /// Sends a request and waits for its answer; returns the host that answered.
    pub fn ask(&mut self, id: &str, limit: Duration) -> Result<String, Failure> {
        let record = Arc::clone(&self.client.record);
        self.covered = self.used.elapsed() < IDLE_LIMIT && self.opened.elapsed() < AGE_LIMIT;
        let mut request = Packet::new(self.local, self.route, ACK, self.next_out, self.next_in);
        request.data = format!("GET /work HTTP/1.1\r\nRequest-Id: {id}\r\n\r\n").into_bytes();
        let sent_end = self.next_out.wrapping_add(request.data.len() as u32);
        record.line(&format!("client port {} sends {id}", self.local.port()));
        let start = Instant::now();
        let (mut due, mut gap) = (start, FIRST_RESEND);
        let result = loop {
            if Instant::now() >= due {
                self.client.send(&request);
                due = Instant::now() + gap;
                gap = (gap * 2).min(LAST_RESEND);
            }
            if let Ok((packet, system)) = self.packets.recv_timeout(Duration::from_millis(5)) {
                if let Some(failure) = self.reset(&packet, system) {
                    break Err(failure);
                }
                if !packet.has(SYN) && !packet.data.is_empty() && packet.seq == self.next_in {
                    self.next_out = sent_end;
                    self.used = Instant::now();
                    self.next_in = self.next_in.wrapping_add(packet.data.len() as u32);
                    if packet.has(FIN) {
                        self.next_in = self.next_in.wrapping_add(1);
                    }
                    self.acknowledge();
                    if packet.has(FIN) {
                        let flags = ACK | FIN;
                        let fin =
                            Packet::new(self.local, self.route, flags, sent_end, self.next_in);
                        self.client.send(&fin);
                    }
                    let text = String::from_utf8_lossy(&packet.data).into_owned();
                    break Ok(text.rsplit("\r\n").next().unwrap_or_default().to_owned());
                }
            }
            if start.elapsed() > limit {
                break Err(Failure::Late);
            }
        };
        record.line(&format!(
            "client port {}: {id} ends with {result:?}",
            self.local.port()
        ));
        result.map(|body| body.split(' ').next().unwrap_or_default().to_owned())
    }
}
