//! A machine is stopped and started in turn shortly after a host on it started.
//!
//! The host's first report went to the daemon's previous process; its second one is the first
//! that the next process gets.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, Route};
use crate::host::Host;
use crate::platform::{Platform, Router, configuration};
use crate::support::Record;

const LIMIT: Duration = Duration::from_secs(20);
const SERVICE: &str = "storefront";
const ZONE: &str = "z1";
const FLOWS: u16 = 60;
/// Side machines; the last one is added while the others serve.
const MACHINES: u8 = 4;

pub fn run(record: &Record, trouble: bool) -> Result<usize, Box<dyn Error>> {
    let mut platform = Platform::new(record.clone())?;
    let alive = Arc::new(AtomicBool::new(true));
    let outcome = play(&mut platform, record, trouble, &alive);
    alive.store(false, Ordering::Release);
    outcome
}

fn play(
    platform: &mut Platform,
    record: &Record,
    trouble: bool,
    alive: &Arc<AtomicBool>,
) -> Result<usize, Box<dyn Error>> {
    let ports = platform.ports;
    let target = SocketAddrV4::new(Ipv4Addr::new(127, 0, 50, 1), 8443);
    platform.start_controls()?;
    for number in 1..=2 {
        platform.start_balancer(number, ZONE)?;
    }
    for number in 1..MACHINES {
        platform.start_agent(number, ZONE, SERVICE)?;
    }
    if !platform.configure(&configuration(SERVICE, target), LIMIT) {
        return Err("no acknowledgement of the configuration".into());
    }
    let mut hosts = Vec::new();
    for number in 1..MACHINES {
        let at = platform.host_addresses(number);
        hosts.push(Host::start(
            &format!("host-{number}"),
            SERVICE,
            ZONE,
            at,
            record,
        )?);
    }
    for number in 1..=2 {
        if !platform.wait_ready(Platform::balancer_ip(number), LIMIT) {
            return Err("a balancer didn't get ready".into());
        }
    }
    sleep(Duration::from_secs(3));
    let router = Router::start(&[1, 2], ports, alive, record);
    let route: Route = Arc::new(move |port| router.pick(port));
    let at = SocketAddrV4::new(Ipv4Addr::new(127, 0, 40, 1), ports.packets);
    let client = Client::start(at, target, route, alive, record)?;

    // A machine is added: its daemon starts, then its host.
    let name = format!("agent-{MACHINES}");
    platform.start_agent(MACHINES, ZONE, SERVICE)?;
    sleep(Duration::from_secs(1));
    let added = Host::start(
        "host-added",
        SERVICE,
        ZONE,
        platform.host_addresses(MACHINES),
        record,
    )?;
    let start = Instant::now();
    while added.seen.reports.lock().unwrap().0 == 0 {
        if start.elapsed() > LIMIT {
            return Err("the added host's report wasn't acknowledged".into());
        }
        sleep(Duration::from_millis(5));
    }
    // The tables name the new member about 300 ms after its first report.
    sleep(Duration::from_millis(450));
    let ports_used: Vec<u16> = (40_001..40_001 + FLOWS).collect();
    let opened: Vec<_> = ports_used
        .iter()
        .map(|port| {
            let (client, port) = (client.clone(), *port);
            std::thread::spawn(move || (port, client.open(port)))
        })
        .collect();
    let opened: Vec<u16> = opened
        .into_iter()
        .filter_map(|t| t.join().ok())
        .filter(|(_, open)| *open)
        .map(|(port, _)| port)
        .collect();
    for port in &opened {
        client.send_request(*port, &format!("first-{port}"));
    }
    client.settle(&opened, Duration::from_millis(150));
    let here: Vec<u16> = added.seen.open.lock().unwrap().clone();
    record.line(&format!(
        "{} flows are open, {} of them at the added host",
        opened.len(),
        here.len()
    ));
    if here.is_empty() {
        return Err("no flow opened at the added host".into());
    }
    if added.seen.reports.lock().unwrap().0 != 1 {
        return Err("the added host has sent its second report already".into());
    }
    if trouble {
        platform.signal(&name, "TERM");
        platform.restart(&name, Duration::from_millis(100))?;
    }
    // The clients pause between two requests.
    sleep(Duration::from_secs(5));
    let open: Vec<u16> = opened
        .iter()
        .copied()
        .filter(|port| client.waiting(*port).is_none())
        .collect();
    for port in &open {
        client.send_request(*port, &format!("second-{port}"));
        sleep(Duration::from_millis(2));
    }
    client.settle(&open, Duration::from_secs(8));
    if !platform.all_run() {
        record.line("a process has ended by itself");
    }
    let all: Vec<&Host> = hosts.iter().chain([&added]).collect();
    Ok(crate::rules::flow(&client, &all, &open, record))
}
