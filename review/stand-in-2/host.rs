//! A host: answers flows at its UDP address and reports to the daemon on its machine.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::packet::{ACK, BOUNCED, Packet, RST, SYN};
use crate::support::{Record, call, random, unix_ms};

/// Interval of the reports.
const BEAT: Duration = Duration::from_millis(1_200);

/// Pause after a report that failed.
const BEAT_RETRY: Duration = Duration::from_millis(200);

type Key = (Ipv4Addr, u16, Ipv4Addr, u16);

struct Flow {
    iss: u32,
    next: u32,
    open: bool,
    /// Last response, and the sequence number of its request.
    last: Option<(u32, Packet)>,
}

#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
}

/// What the host has seen, shared with the case.
#[derive(Default)]
pub struct Seen {
    /// Requests by text, with how often each ran.
    pub runs: Mutex<HashMap<String, u32>>,
    /// Ports of clients whose flows are open here.
    pub open: Mutex<Vec<u16>>,
    /// Number of acknowledged reports, and when the last one was acknowledged.
    pub reports: Mutex<(u32, Option<Instant>)>,
}

pub struct Host {
    pub name: String,
    pub seen: Arc<Seen>,
    alive: Arc<AtomicBool>,
}

impl Host {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        at: Addresses,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(at.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let seen = Arc::new(Seen::default());
        let alive = Arc::new(AtomicBool::new(true));
        record.line(&format!("host {name} starts"));
        {
            let (seen, alive, record, name) = (
                Arc::clone(&seen),
                Arc::clone(&alive),
                record.clone(),
                name.to_owned(),
            );
            std::thread::spawn(move || serve(&socket, at, &seen, &alive, &record, &name));
        }
        {
            let (seen, alive, record) = (Arc::clone(&seen), Arc::clone(&alive), record.clone());
            let (name, service, zone) = (name.to_owned(), service.to_owned(), zone.to_owned());
            std::thread::spawn(move || {
                report(&name, &service, &zone, at, &seen, &alive, &record);
            });
        }
        Ok(Self {
            name: name.to_owned(),
            seen,
            alive,
        })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.alive.store(false, Ordering::Release);
    }
}

fn serve(
    socket: &UdpSocket,
    at: Addresses,
    seen: &Seen,
    alive: &AtomicBool,
    record: &Record,
    name: &str,
) {
    let mut flows: HashMap<Key, Flow> = HashMap::new();
    let mut buffer = [0; 2_048];
    while alive.load(Ordering::Acquire) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Some(packet) = Packet::decode(&buffer[..length]) else {
            continue;
        };
        for reply in answer(&mut flows, packet, seen, record, name) {
            let _ = socket.send_to(&reply.encode(), at.outbound);
        }
    }
}

fn answer(
    flows: &mut HashMap<Key, Flow>,
    packet: Packet,
    seen: &Seen,
    record: &Record,
    name: &str,
) -> Vec<Packet> {
    let key = (packet.src, packet.sport, packet.dst, packet.dport);
    let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| {
        Packet {
            flags,
            sum: 0,
            src: packet.dst,
            sport: packet.dport,
            dst: packet.src,
            dport: packet.sport,
            echo: 0,
            seq,
            ack,
            data,
        }
        .sealed()
    };
    let bounced = || {
        let mut back = packet.clone();
        back.flags |= BOUNCED;
        vec![back]
    };
    if packet.has(SYN) && !packet.has(ACK) {
        let flow = flows.entry(key).or_insert_with(|| {
            let iss = random() as u32;
            Flow {
                iss,
                next: iss.wrapping_add(1),
                open: false,
                last: None,
            }
        });
        return vec![reply(
            SYN | ACK,
            flow.iss,
            packet.seq.wrapping_add(1),
            Vec::new(),
        )];
    }
    let Some(flow) = flows.get_mut(&key) else {
        return bounced();
    };
    if !flow.open && packet.ack != flow.iss.wrapping_add(1) {
        return bounced();
    }
    if packet.has(RST) {
        flows.remove(&key);
        return Vec::new();
    }
    if !flow.open {
        flow.open = true;
        seen.open.lock().unwrap().push(packet.sport);
    }
    if packet.data.is_empty() {
        return Vec::new();
    }
    if let Some((seq, response)) = &flow.last
        && *seq == packet.seq
    {
        return vec![response.clone()];
    }
    let text = String::from_utf8_lossy(&packet.data).into_owned();
    *seen.runs.lock().unwrap().entry(text.clone()).or_default() += 1;
    record.line(&format!("host {name} runs {text}"));
    let body = format!("done {text}").into_bytes();
    let end = packet.seq.wrapping_add(packet.data.len() as u32);
    let response = reply(ACK, flow.next, end, body);
    flow.next = flow.next.wrapping_add(response.data.len() as u32);
    flow.last = Some((packet.seq, response.clone()));
    vec![response]
}

fn report(
    name: &str,
    service: &str,
    zone: &str,
    at: Addresses,
    seen: &Seen,
    alive: &AtomicBool,
    record: &Record,
) {
    let born = unix_ms();
    let mut sequence = 0;
    while alive.load(Ordering::Acquire) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"max_concurrency\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}",
            at.app
        );
        let to = SocketAddr::V4(at.control);
        let path = format!("/Instances.Heartbeat/{name}");
        let sent = Instant::now();
        let taken = call(to, "POST", &path, &body, Duration::from_secs(1))
            .is_ok_and(|r| r.status / 100 == 2);
        if taken {
            let mut reports = seen.reports.lock().unwrap();
            *reports = (reports.0 + 1, Some(Instant::now()));
            if reports.0 <= 3 {
                record.line(&format!("report {sequence} of {name} acknowledged"));
            }
        } else {
            record.line(&format!("report {sequence} of {name} failed"));
        }
        let pause = if taken { BEAT } else { BEAT_RETRY };
        while sent.elapsed() < pause && alive.load(Ordering::Acquire) {
            sleep(Duration::from_millis(10));
        }
    }
}
