//! A host crashes and comes back while the frontend daemons of another zone are down, so that the
//! flows of that zone enter through the zone of the host.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, Route};
use crate::host::Host;
use crate::platform::{Platform, Router, configuration};
use crate::support::{Record, random};

const LIMIT: Duration = Duration::from_secs(20);
const SERVICE: &str = "storefront";
/// Zone of each side machine, from machine 1 on.
const ZONES: [&str; 7] = ["z1", "z1", "z1", "z3", "z3", "z3", "z2"];
/// Machine whose host crashes, alone in its zone.
const LONE: u8 = 7;
const FLOWS: u16 = 120;
const ROUNDS: u16 = 9;
/// Time for which the host is down.
const DOWN: Duration = Duration::from_millis(5_000);
/// When the daemons of the clients' zone are killed, before the host is back.
const KILL_LEAD: Duration = Duration::from_millis(650);
/// Time for which they are down.
const KILL_DOWN: Duration = Duration::from_millis(2_000);

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
    for (number, zone) in [(1, "z1"), (2, "z1"), (3, "z2"), (4, "z2")] {
        platform.start_balancer(number, zone)?;
    }
    for (number, zone) in (1..).zip(ZONES) {
        // Machines start within 0.3 s of each other.
        sleep(Duration::from_millis(random() % 60));
        platform.start_agent(number, zone, SERVICE)?;
    }
    if !platform.configure(&configuration(SERVICE, target), LIMIT) {
        return Err("no acknowledgement of the configuration".into());
    }
    let mut hosts = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let name = format!("host-{number}");
        hosts.push(Host::start(
            &name,
            SERVICE,
            zone,
            platform.host_addresses(number),
            record,
        )?);
    }
    for number in 1..=4 {
        if !platform.wait_ready(Platform::balancer_ip(number), LIMIT) {
            return Err("a balancer didn't get ready".into());
        }
    }
    sleep(Duration::from_secs(3));
    let near = Router::start(&[1, 2], ports, alive, record);
    let far = Router::start(&[3, 4], ports, alive, record);
    let route: Route = Arc::new(move |port| near.pick(port).or_else(|| far.pick(port)));
    let at = SocketAddrV4::new(Ipv4Addr::new(127, 0, 40, 1), ports.packets);
    let client = Client::start(at, target, route, alive, record)?;
    let mut broken = 0;
    for round in 0..ROUNDS {
        broken += play_round(platform, &client, &mut hosts, round, trouble, record)?;
    }
    if !platform.all_run() {
        record.line("a process has ended by itself");
    }
    Ok(broken)
}

fn play_round(
    platform: &mut Platform,
    client: &Client,
    hosts: &mut Vec<Host>,
    round: u16,
    trouble: bool,
    record: &Record,
) -> Result<usize, Box<dyn Error>> {
    record.line(&format!("round {round}"));
    let crash_at = Instant::now();
    let lone = usize::from(LONE) - 1;
    if trouble {
        hosts[lone].crash(record);
    }
    sleep(Duration::from_secs(2));
    let first = 40_001 + round * FLOWS;
    let ports: Vec<u16> = (first..first + FLOWS).collect();
    let opening = ports.iter().map(|port| {
        let (client, port) = (client.clone(), *port);
        std::thread::spawn(move || (port, client.open(port)))
    });
    let opening: Vec<_> = opening.collect();
    let opened = opening.into_iter().filter_map(|thread| thread.join().ok());
    let ports: Vec<u16> = opened
        .filter(|(_, open)| *open)
        .map(|(port, _)| port)
        .collect();
    for port in &ports {
        client.send_request(*port, &format!("first-{port}"));
    }
    client.settle(&ports, Duration::from_secs(1));
    record.line(&format!("{} flows are open", ports.len()));
    let ports: Vec<u16> = ports
        .into_iter()
        .filter(|port| client.waiting(*port).is_none())
        .collect();
    sleep_until(crash_at + DOWN - KILL_LEAD);
    let killed_at = Instant::now();
    if trouble {
        for name in ["balancer-1", "balancer-2"] {
            platform.signal(name, "KILL");
        }
    }
    sleep_until(crash_at + DOWN);
    if trouble {
        let addresses = platform.host_addresses(LONE);
        let name = format!("host-{LONE}-start-{round}");
        hosts[lone] = Host::start(&name, SERVICE, "z2", addresses, record)?;
    }
    sleep_until(crash_at + DOWN + Duration::from_millis(300));
    for port in &ports {
        client.send_request(*port, &format!("second-{port}"));
        sleep(Duration::from_millis(4));
    }
    sleep_until(killed_at + KILL_DOWN);
    if trouble {
        for name in ["balancer-1", "balancer-2"] {
            platform.start_again(name)?;
        }
    }
    client.settle(&ports, Duration::from_secs(5));
    let all: Vec<&Host> = hosts.iter().collect();
    let broken = crate::rules::flow(client, &all, &ports, record);
    sleep(Duration::from_secs(2));
    Ok(broken)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}
