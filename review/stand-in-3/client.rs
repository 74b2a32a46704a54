//! Client: opens flows, sends requests on them, and tells resets of the system from those of hosts.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::platform::Router;
use crate::support::{Record, random};

const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
/// Times at which copies of a SYN are sent, and the end of the attempt.
const COPIES_MS: [u64; 2] = [200, 600];
/// On an open flow, a reset counts if its number is this close to the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A reset with sum 0, which no host sends.
    ResetBySystem,
    ResetByHost,
    Silence,
}

pub struct Client {
    ip: Ipv4Addr,
    socket: UdpSocket,
    flows: Mutex<HashMap<u16, Sender<(Packet, bool)>>>,
    router: Arc<Router>,
    record: Record,
    next_port: Mutex<u16>,
}

impl Client {
    /// Packets for a client come to the port of `datagram_addr` at its address.
    pub fn start(ip: Ipv4Addr, port: u16, router: Arc<Router>, record: Record) -> Arc<Self> {
        let client = Arc::new(Self {
            ip,
            socket: UdpSocket::bind((ip, port)).unwrap(),
            flows: Mutex::default(),
            router,
            record,
            next_port: Mutex::new(20_000 + (random() % 20_000) as u16),
        });
        let receiving = Arc::clone(&client);
        std::thread::spawn(move || receiving.receive());
        client
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            if let Some(received) = Packet::decode(&buffer[..size]) {
                let flows = self.flows.lock().unwrap();
                if let Some(flow) = flows.get(&received.0.dst.port()) {
                    let _ = flow.send(received);
                }
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let to = self.router.choose(packet.src, packet.dst);
        // Lost if the balancer is down.
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    pub fn open(self: &Arc<Self>, route: SocketAddrV4) -> Result<Flow, Failure> {
        let port = {
            let mut next = self.next_port.lock().unwrap();
            *next += 1;
            *next
        };
        let local = SocketAddrV4::new(self.ip, port);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let number = random();
        let start = Instant::now();
        let via = self.router.choose(local, route);
        self.record
            .line(&format!("client: sends the SYN of flow {local} via {via}"));
        self.send(&Packet::new(local, route, SYN, number, 0));
        let mut copies = 0;
        loop {
            let due = COPIES_MS
                .get(copies)
                .map_or(OPEN_LIMIT, |ms| Duration::from_millis(*ms));
            let left = due.saturating_sub(start.elapsed());
            match packets.recv_timeout(left) {
                Ok((packet, true)) if packet.has(SYN | ACK) => {
                    let next = number.wrapping_add(1);
                    let peer_next = packet.seq.wrapping_add(1);
                    self.send(&Packet::new(local, route, ACK, next, peer_next));
                    self.record
                        .line(&format!("client: flow {local} to {route} has its SYN+ACK"));
                    let client = Arc::clone(self);
                    return Ok(Flow {
                        client,
                        local,
                        route,
                        packets,
                        next,
                        peer_next,
                        confirmed: false,
                    });
                }
                Ok((packet, genuine)) if packet.has(RST) => {
                    return Err(if genuine {
                        Failure::ResetByHost
                    } else {
                        Failure::ResetBySystem
                    });
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => return Err(Failure::Silence),
                Err(RecvTimeoutError::Timeout) if copies < COPIES_MS.len() => {
                    copies += 1;
                    let via = self.router.choose(local, route);
                    self.record.line(&format!(
                        "client: sends copy {copies} of that SYN of {local} via {via}"
                    ));
                    self.send(&Packet::new(local, route, SYN, number, copies as u32));
                }
                Err(RecvTimeoutError::Timeout) => return Err(Failure::Silence),
            }
        }
    }
}

pub struct Flow {
    client: Arc<Client>,
    pub local: SocketAddrV4,
    pub route: SocketAddrV4,
    packets: Receiver<(Packet, bool)>,
    next: u32,
    peer_next: u32,
    /// Whether the host sent anything after its SYN+ACK, which shows that the flow is open there.
    confirmed: bool,
}

impl Flow {
    /// Sends a request and waits for its answer, whose body names the host.
    pub fn ask(&mut self, id: &str, limit: Duration) -> Result<String, Failure> {
        let record = self.client.record.clone();
        let text = format!(
            "GET /{id} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\n\r\n",
            self.route
        );
        let mut request = Packet::new(self.local, self.route, ACK, self.next, self.peer_next);
        request.data = text.into_bytes();
        self.next = self.next.wrapping_add(request.data.len() as u32);
        record.line(&format!(
            "client: sends request {id} on flow {}",
            self.local
        ));
        self.client.send(&request);
        let start = Instant::now();
        let mut wait = FIRST_RESEND;
        let mut resend = start + wait;
        let result = loop {
            let now = Instant::now();
            if now >= start + limit {
                break Err(Failure::Silence);
            }
            let left = resend.min(start + limit).saturating_duration_since(now);
            match self.packets.recv_timeout(left) {
                Ok((packet, genuine)) if packet.has(RST) => {
                    if let Some(failure) = self.reset(&packet, genuine) {
                        break Err(failure);
                    }
                }
                Ok((packet, true)) if !packet.data.is_empty() => {
                    self.confirmed = true;
                    if packet.seq != self.peer_next {
                        self.acknowledge(false);
                        continue;
                    }
                    let fin = packet.has(FIN);
                    let size = packet.data.len() as u32 + u32::from(fin);
                    self.peer_next = self.peer_next.wrapping_add(size);
                    // One request a flow: the client closes it after the answer.
                    self.acknowledge(true);
                    let text = String::from_utf8_lossy(&packet.data).into_owned();
                    break Ok(text.split("\r\n\r\n").nth(1).unwrap_or("").to_owned());
                }
                // Copies of the SYN+ACK say nothing new.
                Ok((packet, genuine)) => self.confirmed |= genuine && !packet.has(SYN),
                Err(_) if Instant::now() >= resend => {
                    wait = (wait * 2).min(LAST_RESEND);
                    resend = Instant::now() + wait;
                    record.line(&format!(
                        "client: sends request {id} again (unacknowledged)"
                    ));
                    self.client.send(&request);
                }
                Err(_) => {}
            }
        };
        record.line(&format!("client: request {id}: {result:?}"));
        result
    }

    /// What a reset means on this flow; others than valid ones are ignored. Until the host has sent something
    /// after its SYN+ACK, the client can't know that the flow is open, and takes a reset with any number.
    fn reset(&self, packet: &Packet, genuine: bool) -> Option<Failure> {
        let distance = packet.seq.wrapping_sub(self.peer_next);
        let near = distance <= RESET_WINDOW || distance.wrapping_neg() <= RESET_WINDOW;
        let valid =
            (near || !self.confirmed) && packet.data.is_empty() && (genuine || packet.sum == 0);
        let (local, sum, seq) = (self.local, packet.sum, packet.seq);
        let text = format!("client: reset on flow {local}: sum {sum}, seq {seq}, valid: {valid}");
        self.client.record.line(&text);
        valid.then_some(if genuine {
            Failure::ResetByHost
        } else {
            Failure::ResetBySystem
        })
    }

    fn acknowledge(&self, fin: bool) {
        let flags = if fin { ACK | FIN } else { ACK };
        let ack = Packet::new(self.local, self.route, flags, self.next, self.peer_next);
        self.client.send(&ack);
    }
}
