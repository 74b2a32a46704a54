//! A host: ends flows, runs requests and reports itself to the daemon on its machine.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::Record;

const TICK: Duration = Duration::from_millis(10);
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
const MOST_RESENDS: u32 = 8;

#[derive(Clone)]
pub struct HostSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: u16,
    pub heartbeat: Duration,
}

struct Held {
    /// Number of the SYN-ACK.
    number: u32,
    open: bool,
    next_in: u32,
    next_out: u32,
    /// Response that the client has not acknowledged; it ends with a FIN while the host drains.
    response: Option<Packet>,
    /// Whether both ends have sent a FIN.
    over: bool,
    due: Instant,
    gap: Duration,
    resends: u32,
}

#[derive(Default)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Held>,
    /// Runs by request id.
    runs: HashMap<String, u32>,
    sequence: u64,
    numbers: u32,
    draining: bool,
    /// Whether a report that it leaves was acknowledged.
    drain_known: bool,
}

pub struct Host {
    pub settings: HostSettings,
    socket: UdpSocket,
    state: Mutex<State>,
    born: u64,
    stop: AtomicBool,
    record: Arc<Record>,
}

impl Host {
    pub fn start(settings: HostSettings, record: &Arc<Record>) -> Arc<Self> {
        let socket = UdpSocket::bind(settings.app).expect("the host's address is free");
        socket.set_read_timeout(Some(TICK)).unwrap();
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = since.as_millis() as u64;
        record.line(&format!(
            "host {} of {} starts",
            settings.id, settings.service
        ));
        let host = Arc::new(Self {
            socket,
            state: Mutex::new(State {
                numbers: born as u32,
                ..State::default()
            }),
            born,
            stop: AtomicBool::new(false),
            record: Arc::clone(record),
            settings,
        });
        let (packets, reports) = (Arc::clone(&host), Arc::clone(&host));
        std::thread::spawn(move || packets.serve());
        std::thread::spawn(move || reports.report_always());
        host
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.state
            .lock()
            .unwrap()
            .runs
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// Whether it holds a flow open.
    pub fn holds(&self, client: SocketAddrV4, route: SocketAddrV4) -> bool {
        let state = self.state.lock().unwrap();
        state
            .flows
            .get(&(client, route))
            .is_some_and(|held| held.open && !held.over)
    }

    /// Reports from its next report on that it leaves, and serves on; returns when that is
    /// acknowledged.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        while !self.state.lock().unwrap().drain_known {
            std::thread::sleep(TICK);
        }
    }

    /// Reports about every heartbeat interval, and again soon after a report that failed.
    fn report_always(&self) {
        while !self.stop.load(Ordering::Acquire) {
            let began = Instant::now();
            let pause = if self.report() {
                self.settings.heartbeat
            } else {
                Duration::from_millis(300)
            };
            std::thread::sleep(pause.saturating_sub(began.elapsed()));
        }
    }

    fn report(&self) -> bool {
        let (sequence, word) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            (
                state.sequence,
                if state.draining { "draining" } else { "ready" },
            )
        };
        let s = &self.settings;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","max_concurrency":{},"state":"{word}","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
            s.service, s.app, s.zone, s.slots, self.born
        );
        let path = format!("/Instances.Heartbeat/{}", s.id);
        let reply = http::call(
            s.control,
            "POST",
            &path,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = reply.map(|reply| reply.status);
        self.record.line(&format!(
            "host {} heartbeat sequence {sequence}, {word}: {status:?}",
            s.id
        ));
        let acknowledged = status.is_some_and(|status| (200..300).contains(&status));
        if acknowledged && word == "draining" {
            self.state.lock().unwrap().drain_known = true;
        }
        acknowledged
    }

    fn serve(&self) {
        let mut buffer = [0; 2_048];
        while !self.stop.load(Ordering::Acquire) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some((packet, genuine)) = Packet::decode(&buffer[..length])
            {
                self.take(&packet, genuine);
            }
            self.resend();
        }
    }

    fn send(&self, packet: &Packet) {
        let _ = self
            .socket
            .send_to(&packet.encode(), self.settings.outbound);
    }

    fn bounce(&self, packet: &Packet) {
        let flags = packet.flags | BOUNCED;
        self.send(&Packet {
            flags,
            ..packet.clone()
        });
    }

    fn take(&self, packet: &Packet, genuine: bool) {
        let mut state = self.state.lock().unwrap();
        if !genuine || packet.has(SYN | ACK) || packet.has(BOUNCED) {
            self.record.line(&format!(
                "host {} gets a forged packet {packet:?}",
                self.settings.id
            ));
            return;
        }
        let (client, route) = (packet.source, packet.target);
        let key = (client, route);
        if packet.has(SYN) {
            if !state.flows.contains_key(&key) {
                state.numbers = state
                    .numbers
                    .wrapping_mul(1_664_525)
                    .wrapping_add(1_013_904_223);
                let number = state.numbers;
                let held = Held {
                    number,
                    open: false,
                    next_in: packet.seq.wrapping_add(1),
                    next_out: number.wrapping_add(1),
                    response: None,
                    over: false,
                    due: Instant::now(),
                    gap: FIRST_RESEND,
                    resends: 0,
                };
                state.flows.insert(key, held);
            }
            let held = &state.flows[&key];
            if !held.open {
                self.send(&Packet::new(
                    route,
                    client,
                    SYN | ACK,
                    held.number,
                    held.next_in,
                ));
            }
            return;
        }
        let draining = state.draining;
        let Some(held) = state.flows.get_mut(&key) else {
            return self.bounce(packet);
        };
        if !held.open {
            if !packet.has(ACK) || packet.ack != held.number.wrapping_add(1) {
                return self.bounce(packet);
            }
            held.open = true;
            self.record.line(&format!(
                "host {} has flow {client} to {route} open",
                self.settings.id
            ));
        }
        if packet.has(RST) {
            state.flows.remove(&key);
            return;
        }
        if packet.ack == held.next_out {
            held.response = None;
        }
        if packet.has(FIN) {
            // The client closes only after the host did.
            held.over = true;
            let ack = packet.seq.wrapping_add(1);
            return self.send(&Packet::new(route, client, ACK, held.next_out, ack));
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq != held.next_in {
            // A copy: the acknowledgement or the response was lost.
            let (seq, ack) = (held.next_out, held.next_in);
            let again = held.response.clone();
            return self.send(&again.unwrap_or_else(|| Packet::new(route, client, ACK, seq, ack)));
        }
        held.next_in = held.next_in.wrapping_add(packet.data.len() as u32);
        let id = request_id(&packet.data);
        let mut response = Packet::new(route, client, ACK, held.next_out, held.next_in);
        let body = format!("{} {id}", self.settings.id);
        response.data = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes();
        held.next_out = held.next_out.wrapping_add(response.data.len() as u32);
        if draining {
            response.flags |= FIN;
            held.next_out = held.next_out.wrapping_add(1);
        }
        self.send(&response);
        (held.due, held.gap, held.resends) = (Instant::now() + FIRST_RESEND, FIRST_RESEND, 0);
        held.response = Some(response);
        *state.runs.entry(id.clone()).or_default() += 1;
        self.record
            .line(&format!("host {} runs {id}", self.settings.id));
    }

    fn resend(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        for held in state.flows.values_mut() {
            if let Some(response) = held.response.clone()
                && now >= held.due
            {
                held.resends += 1;
                if held.resends > MOST_RESENDS {
                    held.response = None;
                    continue;
                }
                held.gap = (held.gap * 2).min(LAST_RESEND);
                held.due = now + held.gap;
                self.send(&response);
            }
        }
    }
}

fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("Request-Id: "));
    id.unwrap_or("unreadable").to_owned()
}
