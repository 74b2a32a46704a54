//! Host: ends flows, runs requests, reports itself to the agent on its machine.

use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::support::{Record, call, random, unix_ms};

/// Interval of the reports, as in the settings of the processes.
pub const REPORT_EVERY: Duration = Duration::from_millis(1_200);
/// First interval of retransmissions; it doubles up to `LAST_RESEND`.
const FIRST_RESEND: Duration = Duration::from_millis(200);
const LAST_RESEND: Duration = Duration::from_millis(1_600);
/// Time until a report that was not acknowledged is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
const MOST_RESENDS: u32 = 8;
/// Requests that run at a time, as in the site file.
const SLOTS: usize = 2;
/// Time that a request takes, and of some that take longer, as in the site file: 17 ms, 3 % of them 7 times
/// that.
const WORK: Duration = Duration::from_millis(17);
const LONG_WORK: Duration = Duration::from_millis(119);
const LONG_PERCENT: u32 = 3;

#[derive(Clone)]
pub struct HostSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

struct Held {
    /// Number of the SYN-ACK until the flow is open.
    opening: Option<u32>,
    expected: u32,
    next: u32,
    unanswered: Option<(Packet, Instant, Duration, u32)>,
    done: Option<String>,
    closing: bool,
    over: bool,
}

type Key = (SocketAddrV4, SocketAddrV4);

struct Request {
    key: Key,
    id: String,
}

struct State {
    flows: HashMap<Key, Held>,
    running: Vec<(Instant, Request)>,
    waiting: VecDeque<Request>,
    draining: bool,
    born: u64,
    sequence: u64,
    /// The process does not run.
    down: bool,
    acknowledged: u64,
    next_report: Instant,
}

pub struct Host {
    pub settings: HostSettings,
    socket: UdpSocket,
    state: Mutex<State>,
    runs: Mutex<HashMap<String, u32>>,
    record: Record,
}

impl Host {
    pub fn start(settings: HostSettings, record: Record) -> Arc<Self> {
        let socket = UdpSocket::bind(settings.app).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let host = Arc::new(Self {
            settings,
            socket,
            state: Mutex::new(State {
                flows: HashMap::new(),
                running: Vec::new(),
                waiting: VecDeque::new(),
                draining: false,
                born: unix_ms(),
                sequence: 0,
                down: false,
                acknowledged: 0,
                next_report: Instant::now(),
            }),
            runs: Mutex::default(),
            record,
        });
        let (serving, reporting) = (Arc::clone(&host), Arc::clone(&host));
        std::thread::spawn(move || serving.serve());
        std::thread::spawn(move || reporting.report_always());
        host
    }

    fn note(&self, text: &str) {
        self.record
            .line(&format!("host {}: {text}", self.settings.id));
    }

    pub fn runs_of(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Whether the flow is open here.
    pub fn holds(&self, client: SocketAddrV4, route: SocketAddrV4) -> bool {
        let state = self.state.lock().unwrap();
        let held = state.flows.get(&(client, route));
        held.is_some_and(|held| held.opening.is_none() && !held.over)
    }

    fn report_always(&self) {
        loop {
            let due = {
                let state = self.state.lock().unwrap();
                !state.down && state.next_report <= Instant::now()
            };
            if due {
                self.report();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn report(&self) -> bool {
        let (body, sequence) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.next_report = Instant::now() + REPORT_EVERY;
            let settings = &self.settings;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"max_concurrency\":{SLOTS},\"state\":\"{}\",\"cold_remaining_ms\":0,\
                 \"sequence\":{},\"born\":{}}}",
                settings.service,
                settings.app,
                settings.zone,
                if state.draining { "draining" } else { "ready" },
                state.sequence,
                state.born
            );
            (body, state.sequence)
        };
        let path = format!("/Instances.Heartbeat/{}", self.settings.id);
        let limit = Duration::from_secs(1);
        let answer = call(self.settings.control, "POST", &path, &body, limit);
        let accepted = answer.as_ref().is_some_and(|a| a.status / 100 == 2);
        let status = answer.map_or("no answer".into(), |a| a.status.to_string());
        self.note(&format!("heartbeat with sequence {sequence}: {status}"));
        let mut state = self.state.lock().unwrap();
        if !accepted {
            // Called again soon, as there is no other daemon to call.
            state.next_report = Instant::now() + RETRY_AFTER;
        } else {
            state.acknowledged = state.acknowledged.max(sequence);
        }
        accepted
    }

    fn serve(&self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((size, _)) = self.socket.recv_from(&mut buffer)
                && let Some((packet, genuine)) = Packet::decode(&buffer[..size])
            {
                self.take(packet, genuine);
            }
            self.poll();
        }
    }

    fn send(&self, packet: &Packet) {
        // The agent may be down; then the packet is lost.
        let _ = self
            .socket
            .send_to(&packet.encode(), self.settings.outbound);
    }

    fn take(&self, packet: Packet, genuine: bool) {
        let mut guard = self.state.lock().unwrap();
        let state = &mut *guard;
        if state.down {
            return;
        }
        if !genuine || packet.has(BOUNCED) || packet.has(SYN | ACK) {
            return self.note(&format!("UNASKED packet {packet:?}"));
        }
        let key = (packet.src, packet.dst);
        if packet.has(SYN) && !state.flows.contains_key(&key) {
            let number = random();
            let held = Held {
                opening: Some(number),
                expected: packet.seq.wrapping_add(1),
                next: number.wrapping_add(1),
                unanswered: None,
                done: None,
                closing: false,
                over: false,
            };
            state.flows.insert(key, held);
        }
        let draining = state.draining;
        let Some(held) = state.flows.get_mut(&key) else {
            let mut back = packet;
            back.flags |= BOUNCED;
            self.note(&format!(
                "does not hold the flow of {}; returns the packet",
                back.src
            ));
            return self.send(&back);
        };
        if let Some(number) = held.opening {
            if packet.has(SYN) {
                let ack = packet.seq.wrapping_add(1);
                return self.send(&Packet::new(packet.dst, packet.src, SYN | ACK, number, ack));
            }
            if packet.ack != number.wrapping_add(1) {
                let mut back = packet;
                back.flags |= BOUNCED;
                return self.send(&back);
            }
            held.opening = None;
            self.note(&format!("the flow of {} is open", packet.src));
        }
        if packet.has(RST) {
            held.over = true;
            return;
        }
        if held.over {
            let flags = if packet.has(FIN) { ACK } else { RST };
            if packet.has(FIN) || !packet.data.is_empty() {
                let ack = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
                self.send(&Packet::new(packet.dst, packet.src, flags, packet.ack, ack));
            }
            return;
        }
        if packet.ack == held.next {
            held.unanswered = None;
            if held.closing && packet.has(FIN) {
                held.over = true;
                let ack = packet.seq.wrapping_add(1);
                return self.send(&Packet::new(packet.dst, packet.src, ACK, held.next, ack));
            }
        }
        if !packet.data.is_empty() {
            if packet.seq == held.expected {
                held.expected = held.expected.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let id = text
                    .split("Request-Id: ")
                    .nth(1)
                    .and_then(|r| r.split("\r\n").next());
                let id = id.unwrap_or("unreadable").to_owned();
                held.closing |= draining;
                state.waiting.push_back(Request { key, id });
            } else if held.unanswered.is_none() {
                // A packet that comes again is acknowledged.
                let ack = Packet::new(packet.dst, packet.src, ACK, held.next, held.expected);
                self.send(&ack);
            }
        } else if packet.has(FIN) {
            held.over = true;
            let ack = packet.seq.wrapping_add(1);
            let flags = if held.closing { ACK } else { ACK | FIN };
            self.send(&Packet::new(packet.dst, packet.src, flags, held.next, ack));
        }
    }

    /// Ends requests whose time is over and begins others.
    fn work(&self, state: &mut State, now: Instant) {
        let over: Vec<_> = state.running.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in over {
            if let Some(held) = state.flows.get_mut(&request.key) {
                held.done = Some(request.id);
            }
        }
        while state.running.len() < SLOTS
            && let Some(request) = state.waiting.pop_front()
        {
            *self
                .runs
                .lock()
                .unwrap()
                .entry(request.id.clone())
                .or_default() += 1;
            let work = if random() % 100 < LONG_PERCENT {
                LONG_WORK
            } else {
                WORK
            };
            self.note(&format!(
                "runs request {} for {} ms",
                request.id,
                work.as_millis()
            ));
            state.running.push((now + work, request));
        }
    }

    /// Sends answers that are done, and what has to be sent again.
    fn poll(&self) {
        let now = Instant::now();
        let mut due = Vec::new();
        let mut state = self.state.lock().unwrap();
        self.work(&mut state, now);
        for ((client, route), held) in &mut state.flows {
            if held.over {
                continue;
            }
            if held.unanswered.is_none()
                && let Some(id) = held.done.take()
            {
                let body = format!("{} ran {id}", self.settings.id);
                let connection = if held.closing {
                    "Connection: close\r\n"
                } else {
                    ""
                };
                let text = format!(
                    "HTTP/1.1 200 OK\r\nResponse-Seal: {id}\r\n{connection}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let flags = if held.closing { ACK | FIN } else { ACK };
                let mut packet = Packet::new(*route, *client, flags, held.next, held.expected);
                packet.data = text.into_bytes();
                let fin = u32::from(held.closing);
                held.next = held.next.wrapping_add(packet.data.len() as u32 + fin);
                held.unanswered = Some((packet.clone(), now + FIRST_RESEND, FIRST_RESEND, 0));
                due.push(packet);
            }
            let mut gone = false;
            if let Some((packet, at, wait, count)) = &mut held.unanswered
                && *at <= now
            {
                gone = *count >= MOST_RESENDS;
                *wait = (*wait * 2).min(LAST_RESEND);
                *at = now + *wait;
                *count += 1;
                due.push(packet.clone());
            }
            held.over |= gone;
        }
        drop(state);
        for packet in due {
            self.send(&packet);
        }
    }
}
