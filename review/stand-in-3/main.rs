//! Stand-ins and scenarios of the cases that are scripts. Started from the repository's root:
//! `cases SCENARIO FOLDER`, with `TROUBLE=0` for a play without the disruption. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run.

mod client;
mod host;
mod packet;
mod platform;
mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use client::{Client, Failure, Flow};
use host::{Host, HostSettings};
use platform::{Deployment, Findings, Machine, Net, RESTART_DELAY, Router, wait_for};
use support::Record;

const ZONES: [&str; 3] = ["med-a", "med-b", "med-c"];
const SERVICE: &str = "photo7";
/// Address of the route; it stands in packets only, and no process listens there.
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 53, 1), 8443);
/// Machine numbers: three frontends with a disk, one without, the client, then the side machines.
const EXTRA_FRONTEND: u8 = 4;
const CLIENT: u8 = 9;
const FIRST_SIDE: u8 = 10;
const MACHINES: u8 = 13;
/// Bound `contact_ms`.
const CONTACT: Duration = Duration::from_millis(4_000);
const START_LIMIT: Duration = Duration::from_secs(30);

struct System {
    deployment: Deployment,
    /// Balancers in the client's zone.
    balancers: Vec<usize>,
    agents: Vec<usize>,
    hosts: Vec<Arc<Host>>,
    router: Arc<Router>,
    client: Arc<Client>,
}

impl System {
    fn start(record: &Record) -> Option<Self> {
        let net = Net::draw(MACHINES);
        let ports = net.ports;
        let seeds: Vec<_> = (1..=3).map(|n| net.at(n, ports.control)).collect();
        let mut deployment = Deployment::new(net, record.clone(), seeds);
        let mut balancers = Vec::new();
        for (number, zone) in (1..).zip(ZONES) {
            let name = format!("frontend-{zone}-1");
            let data = Some(deployment.data_folder(&name));
            let machine = Machine {
                name,
                zone: zone.into(),
                number,
                service: String::new(),
                data,
            };
            deployment.start("control", machine.clone());
            balancers.push(deployment.start("balancer", machine));
        }
        let machine = Machine {
            name: "frontend-med-a-2".into(),
            zone: "med-a".into(),
            number: EXTRA_FRONTEND,
            service: String::new(),
            data: None,
        };
        let extra = deployment.start("balancer", machine);
        let (mut agents, mut hosts) = (Vec::new(), Vec::new());
        for (number, zone) in (FIRST_SIDE..).zip(ZONES) {
            let machine = Machine {
                name: format!("side-{zone}-1"),
                zone: zone.into(),
                number,
                service: SERVICE.into(),
                data: None,
            };
            agents.push(deployment.start("agent", machine));
            let net = &deployment.net;
            let settings = HostSettings {
                id: format!("i-{zone}"),
                service: SERVICE.into(),
                zone: zone.into(),
                app: net.at(number, ports.app),
                outbound: net.at(number, ports.outbound),
                control: net.at(number, ports.control),
            };
            hosts.push(Host::start(settings, record.clone()));
        }
        if !deployment
            .operator()
            .configure(&configuration(), START_LIMIT)
        {
            return None;
        }
        let of_zone = [(1, balancers[0]), (EXTRA_FRONTEND, extra)];
        let net = &deployment.net;
        let addresses = of_zone
            .iter()
            .map(|(n, _)| (net.at(*n, ports.packets), net.at(*n, ports.readiness)));
        let router = Router::start(addresses.collect(), record.clone());
        let client = Client::start(
            net.ip(CLIENT),
            ports.packets,
            Arc::clone(&router),
            record.clone(),
        );
        let balancers = of_zone.iter().map(|(_, index)| *index).collect();
        let system = Self {
            deployment,
            balancers,
            agents,
            hosts,
            router,
            client,
        };
        if !wait_for(START_LIMIT, || system.router.ready() == 2) {
            return None;
        }
        // Traffic starts 10 s after the machines do.
        sleep(Duration::from_secs(8));
        Some(system)
    }

    fn restart(&mut self, index: usize) {
        let record = self.deployment.record.clone();
        self.deployment.daemons[index].stop(&record);
        sleep(RESTART_DELAY);
        self.deployment.restart(index);
    }

    /// Opens flows and keeps those at a host, each after one answered request.
    fn open_at(&self, host: &Host, count: usize, prefix: &str) -> Vec<Flow> {
        let mut flows = Vec::new();
        for number in 0..count {
            let Ok(mut flow) = self.client.open(ROUTE) else {
                continue;
            };
            let answer = flow.ask(&format!("{prefix}-{number}"), Duration::from_secs(3));
            if answer.is_ok_and(|body| body.starts_with(&host.settings.id)) {
                flows.push(flow);
            }
        }
        flows
    }
}

/// A configuration with one route.
fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\
         \"path_prefix\":\"/{}/\",\"type\":\"safe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":500,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        ROUTE.ip(),
        ROUTE.port()
    )
}

/// Sends one more request on each flow, each a little later than the one before.
fn ask_all(
    flows: Vec<Flow>,
    host: &Arc<Host>,
    record: &Record,
    gap: Duration,
    prefix: &str,
) -> Vec<String> {
    let findings = Arc::new(Findings::default());
    let threads: Vec<_> = (0u32..)
        .zip(flows)
        .map(|(number, mut flow)| {
            let (findings, host, record) =
                (Arc::clone(&findings), Arc::clone(host), record.clone());
            let id = format!("{prefix}-{number}");
            std::thread::spawn(move || {
                sleep(gap * number);
                let answer = flow.ask(&id, Duration::from_secs(6));
                let held = host.holds(flow.local, flow.route);
                let runs = host.runs_of(&id);
                record.line(&format!(
                    "{id}: {answer:?}; the host holds the flow: {held}; runs: {runs}"
                ));
                if answer == Err(Failure::ResetBySystem) && held {
                    findings.add(format!(
                        "flow {}: reset by the system, open at its host",
                        flow.local
                    ));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    findings.list()
}

/// A host is being emptied while the machines are stopped and started in turn.
fn roll_while_draining(record: &Record, trouble: bool, logs: &Path) -> Option<Vec<String>> {
    let mut system = System::start(record)?;
    let host = Arc::clone(&system.hosts[0]);
    let flows = system.open_at(&host, 16, "early");
    if flows.len() < 4 {
        return None;
    }
    // The flows are idle until the next request. A balancer of the clients' zone and the agent beside the
    // host are stopped and started in the meantime, as two machines of a roll.
    let (balancer, agent) = (system.balancers[0], system.agents[0]);
    if trouble {
        system.deployment.daemons[balancer].begin_stop(record);
    }
    sleep(Duration::from_millis(600));
    host.drain();
    let begin = Instant::now();
    let asking = {
        let (host, record) = (Arc::clone(&host), record.clone());
        std::thread::spawn(move || {
            sleep(Duration::from_millis(800).saturating_sub(begin.elapsed()));
            ask_all(flows, &host, &record, Duration::from_millis(60), "late")
        })
    };
    if trouble {
        sleep(Duration::from_millis(50));
        system.deployment.daemons[agent].stop(record);
        system.deployment.daemons[balancer].end_stop(record);
        sleep(RESTART_DELAY);
        system.deployment.restart(balancer);
        system.deployment.restart(agent);
    }
    let findings = asking.join().ok()?;
    system.deployment.keep_logs(logs);
    Some(findings)
}

/// A host starts again under its id, and its agent is restarted before the host's second heartbeat.
fn restart_beside_young_host(record: &Record, trouble: bool, logs: &Path) -> Option<Vec<String>> {
    let mut system = System::start(record)?;
    let host = Arc::clone(&system.hosts[0]);
    if trouble {
        host.crash();
        sleep(Duration::from_millis(1_500));
        host.start_again();
    }
    let begin = Instant::now();
    let flows = system.open_at(&host, 6, "early");
    if flows.len() < 2 {
        return None;
    }
    record.line(&format!(
        "{} flows open {} ms after the start of the host",
        flows.len(),
        begin.elapsed().as_millis()
    ));
    if trouble {
        let agent = system.agents[0];
        system.restart(agent);
        if !wait_for(START_LIMIT, || host.acknowledged() >= 2) {
            return None;
        }
    }
    // All machines are in touch again.
    sleep(CONTACT + Duration::from_millis(1_500));
    record.line("all disruptions are over for more than contact_ms");
    let findings = ask_all(flows, &host, record, Duration::from_millis(100), "late");
    system.deployment.keep_logs(logs);
    Some(findings)
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &words[..] else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        return ExitCode::from(2);
    };
    record.line(&format!("scenario {scenario}, trouble: {trouble}"));
    let logs = std::env::var("KEEP_LOGS")
        .map_or_else(|_| Path::new("/dev/null").into(), std::path::PathBuf::from);
    let result = match scenario.as_str() {
        "roll-while-draining" => roll_while_draining(&record, trouble, &logs),
        "restart-beside-young-host" => restart_beside_young_host(&record, trouble, &logs),
        _ => None,
    };
    match result {
        None => {
            record.line("result: the case could not run");
            ExitCode::from(2)
        }
        Some(findings) if findings.is_empty() => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Some(findings) => {
            findings
                .iter()
                .for_each(|finding| record.line(&format!("BROKEN: FLOW: {finding}")));
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
    }
}
