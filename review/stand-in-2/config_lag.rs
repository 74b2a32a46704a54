//! A frontend daemon is stopped and started in turn while the operator moves a route to another
//! service.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, Route};
use crate::host::Host;
use crate::platform::{Platform, Router, configuration_of};
use crate::support::Record;

const LIMIT: Duration = Duration::from_secs(20);
const ZONE: &str = "z1";
const OLD: &str = "storefront";
const NEW: &str = "storefront-2";
const SERVICES: [&str; 2] = [OLD, NEW];
/// Service of each side machine, from machine 1 on.
const MACHINES: [&str; 4] = [OLD, OLD, NEW, NEW];
/// Routes; each is moved once.
const ROUTES: u8 = 10;
const FLOWS: u16 = 30;
/// Requests of a flow, and the pause between two of them.
const REQUESTS: u16 = 12;
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(record: &Record, trouble: bool) -> Result<usize, Box<dyn Error>> {
    let mut platform = Platform::new(record.clone())?;
    let alive = Arc::new(AtomicBool::new(true));
    let outcome = play(&mut platform, record, trouble, &alive);
    alive.store(false, Ordering::Release);
    outcome
}

fn target(route: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 50, route + 1), 8443)
}

/// Configuration in which the first `moved` routes lead to the new service.
fn configuration(moved: u8) -> String {
    let service = |route: u8| if route < moved { NEW } else { OLD };
    let routes: Vec<_> = (0..ROUTES)
        .map(|route| (target(route), service(route)))
        .collect();
    configuration_of(7 + u64::from(moved), &routes, &SERVICES)
}

fn play(
    platform: &mut Platform,
    record: &Record,
    trouble: bool,
    alive: &Arc<AtomicBool>,
) -> Result<usize, Box<dyn Error>> {
    let ports = platform.ports;
    platform.start_controls()?;
    for number in 1..=2 {
        platform.start_balancer(number, ZONE)?;
    }
    for (number, service) in (1..).zip(MACHINES) {
        platform.start_agent(number, ZONE, service)?;
    }
    if !platform.configure(&configuration(0), LIMIT) {
        return Err("no acknowledgement of the configuration".into());
    }
    let mut hosts = Vec::new();
    for (number, service) in (1..).zip(MACHINES) {
        let name = format!("host-{number}");
        hosts.push(Host::start(
            &name,
            service,
            ZONE,
            platform.host_addresses(number),
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
    let mut broken = 0;
    for number in 0..ROUTES {
        record.line(&format!("round {number}"));
        if trouble {
            platform.signal("balancer-2", "TERM");
            platform.restart("balancer-2", Duration::from_millis(300))?;
            if !platform.wait_ready(Platform::balancer_ip(2), LIMIT) {
                return Err("balancer-2 didn't get ready".into());
            }
            record.line("balancer-2 is ready");
        } else {
            sleep(Duration::from_secs(2));
        }
        if !platform.configure(&configuration(number + 1), LIMIT) {
            return Err("no acknowledgement of a change".into());
        }
        // The change is in force at the daemon in rotation about 30 ms after its acknowledgement.
        sleep(Duration::from_millis(60));
        let at = SocketAddrV4::new(Ipv4Addr::new(127, 0, 40, number + 1), ports.packets);
        let client = Client::start(at, target(number), Arc::clone(&route), alive, record)?;
        let first = 40_001 + u16::from(number) * FLOWS;
        let threads: Vec<_> = (first..first + FLOWS)
            .map(|port| {
                let client = client.clone();
                std::thread::spawn(move || use_flow(&client, port))
            })
            .collect();
        let used: Vec<u16> = threads
            .into_iter()
            .filter_map(|t| t.join().ok().flatten())
            .collect();
        client.settle(&used, Duration::from_secs(3));
        let all: Vec<&Host> = hosts.iter().collect();
        broken += crate::rules::flow(&client, &all, &used, record);
    }
    if !platform.all_run() {
        record.line("a process has ended by itself");
    }
    Ok(broken)
}

/// Opens a flow and sends requests on it, one after the other; returns its port if it opened.
fn use_flow(client: &Client, port: u16) -> Option<u16> {
    if !client.open(port) {
        return None;
    }
    for number in 0..REQUESTS {
        let sent = Instant::now();
        client.send_request(port, &format!("request-{port}-{number}"));
        client.settle(&[port], Duration::from_secs(3));
        if client.waiting(port).is_some() {
            break;
        }
        sleep(PAUSE.saturating_sub(sent.elapsed()));
    }
    Some(port)
}
