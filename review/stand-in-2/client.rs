//! Clients: open flows and send requests on them through the platform's routers.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::packet::{ACK, Packet, RST, SYN};
use crate::support::{Record, random};

/// Largest distance of a reset's sequence number from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

#[derive(Debug, Clone)]
pub struct Flow {
    next: u32,
    acked: u32,
    /// Whether the SYN was answered.
    pub open: bool,
    /// Text of the request without a response, and the packet that carries it.
    waiting: Option<(String, Packet)>,
    /// Responses received.
    pub answers: Vec<String>,
    /// When a reset came that the client accepts, and whether the flow was open.
    pub reset: Option<(Instant, bool)>,
}

/// Picks the daemon that a packet goes to.
pub type Route = Arc<dyn Fn(u16) -> Option<SocketAddrV4> + Send + Sync>;

#[derive(Clone)]
pub struct Client {
    ip: Ipv4Addr,
    target: SocketAddrV4,
    socket: Arc<UdpSocket>,
    pub flows: Arc<Mutex<HashMap<u16, Flow>>>,
    route: Route,
    record: Record,
}

impl Client {
    pub fn start(
        at: SocketAddrV4,
        target: SocketAddrV4,
        route: Route,
        alive: &Arc<AtomicBool>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(at)?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let client = Self {
            ip: *at.ip(),
            target,
            socket: Arc::new(socket),
            flows: Arc::default(),
            route,
            record: record.clone(),
        };
        let (receiver, alive) = (client.clone(), Arc::clone(alive));
        std::thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while alive.load(Ordering::Acquire) {
                if let Ok((length, _)) = receiver.socket.recv_from(&mut buffer)
                    && let Some(packet) = Packet::decode(&buffer[..length])
                {
                    receiver.receive(&packet);
                }
            }
        });
        Ok(client)
    }

    fn packet(&self, port: u16, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        Packet {
            flags,
            sum: 0,
            src: self.ip,
            sport: port,
            dst: *self.target.ip(),
            dport: self.target.port(),
            echo: 0,
            seq,
            ack,
            data,
        }
        .sealed()
    }

    fn send(&self, packet: &Packet) {
        if let Some(to) = (self.route)(packet.sport) {
            let _ = self.socket.send_to(&packet.encode(), to);
        }
    }

    fn receive(&self, packet: &Packet) {
        let port = packet.dport;
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        if packet.has(RST) {
            let distance = packet
                .seq
                .wrapping_sub(flow.acked)
                .cast_signed()
                .unsigned_abs();
            let valid = !flow.open || distance <= RESET_WINDOW;
            self.record.line(&format!(
                "client port {port} gets a reset, sum {}, flow open {}, in the window {valid}",
                packet.sum, flow.open
            ));
            if valid && flow.reset.is_none() {
                flow.reset = Some((Instant::now(), flow.open));
            }
            return;
        }
        if packet.has(SYN) {
            if !flow.open {
                flow.open = true;
                flow.acked = packet.seq.wrapping_add(1);
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.acked {
            return;
        }
        flow.acked = packet.seq.wrapping_add(packet.data.len() as u32);
        if flow.waiting.take().is_some() {
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(&format!("client port {port} gets {text}"));
            flow.answers.push(text);
        }
        let ack = self.packet(port, ACK, flow.next, flow.acked, Vec::new());
        drop(flows);
        self.send(&ack);
    }

    /// Opens a flow; copies of the SYN follow after 200 and 600 ms. Returns whether it opened.
    pub fn open(&self, port: u16) -> bool {
        let isn = random() as u32;
        let flow = Flow {
            next: isn.wrapping_add(1),
            acked: 0,
            open: false,
            waiting: None,
            answers: Vec::new(),
            reset: None,
        };
        self.flows.lock().unwrap().insert(port, flow);
        let start = Instant::now();
        let copies = [0, 200, 600];
        let mut sent = 0;
        while start.elapsed() < Duration::from_millis(1_400) {
            if sent < copies.len() && start.elapsed() >= Duration::from_millis(copies[sent]) {
                self.send(&self.packet(port, SYN, isn, sent as u32, Vec::new()));
                sent += 1;
            }
            sleep(Duration::from_millis(2));
            let flows = self.flows.lock().unwrap();
            let flow = &flows[&port];
            if flow.open || flow.reset.is_some() {
                return flow.open;
            }
        }
        false
    }

    /// Sends a request without waiting for its response.
    pub fn send_request(&self, port: u16, text: &str) {
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        let data = text.as_bytes().to_vec();
        let packet = self.packet(port, ACK, flow.next, flow.acked, data);
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        flow.waiting = Some((text.to_owned(), packet.clone()));
        drop(flows);
        self.record
            .line(&format!("client port {port} sends {text}"));
        self.send(&packet);
    }

    /// Sends the requests without a response again, with growing pauses, until all flows have one,
    /// a reset came, or the time is over.
    pub fn settle(&self, ports: &[u16], limit: Duration) {
        let start = Instant::now();
        let mut pause = Duration::from_millis(200);
        let mut due = start + pause;
        while start.elapsed() < limit {
            sleep(Duration::from_millis(5));
            let left: Vec<Packet> = {
                let flows = self.flows.lock().unwrap();
                let open = ports.iter().filter_map(|port| flows.get(port));
                let open = open.filter(|flow| flow.reset.is_none());
                open.filter_map(|flow| Some(flow.waiting.as_ref()?.1.clone()))
                    .collect()
            };
            if left.is_empty() {
                return;
            }
            if Instant::now() >= due {
                left.iter().for_each(|packet| self.send(packet));
                pause = (pause * 2).min(Duration::from_millis(1_600));
                due += pause;
            }
        }
    }

    /// Request of a flow that has no response yet.
    pub fn waiting(&self, port: u16) -> Option<String> {
        let flows = self.flows.lock().unwrap();
        flows
            .get(&port)?
            .waiting
            .as_ref()
            .map(|(text, _)| text.clone())
    }
}
