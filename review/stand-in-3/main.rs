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

use client::{Client, Failure};
use host::{Host, HostSettings};
use platform::{Deployment, Findings, Machine, Net, Router, wait_for};
use support::Record;

const ZONES: [&str; 3] = ["med-a", "med-b", "med-c"];
const SERVICE: &str = "store7";
/// Address of the route; it stands in packets only, and no process listens there.
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 0, 53, 1), 8443);
/// Machine numbers: three frontends with a disk, one without, the client, then the side machines.
const EXTRA_FRONTEND: u8 = 4;
const CLIENT: u8 = 9;
const FIRST_SIDE: u8 = 10;
const MACHINES: u8 = 13;
/// Users, and the time from one to the next. The hosts run 299 requests a second; the usual rate is 62 % of
/// that, the burst 1.7 times the usual rate, as in the site file.
const USERS: u32 = 900;
const USUAL_GAP: Duration = Duration::from_micros(5_380);
const BURST_GAP: Duration = Duration::from_micros(3_165);
const DEADLINE: Duration = Duration::from_millis(600);
const RETRIES: u32 = 2;
/// Time after which a request that was sent has run, if it runs at all.
const LONG_WAIT: Duration = Duration::from_millis(400);
const START_LIMIT: Duration = Duration::from_secs(30);

struct System {
    deployment: Deployment,
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
            deployment.start("balancer", machine);
        }
        let machine = Machine {
            name: "frontend-med-a-2".into(),
            zone: "med-a".into(),
            number: EXTRA_FRONTEND,
            service: String::new(),
            data: None,
        };
        deployment.start("balancer", machine);
        let mut hosts = Vec::new();
        for (number, zone) in (FIRST_SIDE..).zip(ZONES) {
            let machine = Machine {
                name: format!("side-{zone}-1"),
                zone: zone.into(),
                number,
                service: SERVICE.into(),
                data: None,
            };
            deployment.start("agent", machine);
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
        let of_zone = [1, EXTRA_FRONTEND];
        let net = &deployment.net;
        let addresses = of_zone
            .iter()
            .map(|n| (net.at(*n, ports.packets), net.at(*n, ports.readiness)));
        let router = Router::start(addresses.collect(), record.clone());
        let client = Client::start(
            net.ip(CLIENT),
            ports.packets,
            Arc::clone(&router),
            record.clone(),
        );
        let system = Self {
            deployment,
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
}

/// A configuration with one route.
fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"hostname\":\"{}\",\
         \"path_prefix\":\"/{}/\",\"type\":\"unsafe\",\"timeout_ms\":600,\
         \"target_latency_ms\":150,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        ROUTE.ip(),
        ROUTE.port()
    )
}

/// Many users come at once. Each opens a flow for one request, as the `unsafe` kind does, and tries again if
/// the flow is reset before it opened, as far as the client can know.
fn burst(record: &Record, trouble: bool, logs: &Path) -> Option<Vec<String>> {
    let system = System::start(record)?;
    let findings = Arc::new(Findings::default());
    let gap = if trouble { BURST_GAP } else { USUAL_GAP };
    record.line(&format!("a new user each {} us", gap.as_micros()));
    let begin = Instant::now();
    let mut threads = Vec::new();
    for number in 0..USERS {
        sleep((gap * number).saturating_sub(begin.elapsed()));
        let (client, hosts) = (Arc::clone(&system.client), system.hosts.clone());
        let (record, findings) = (record.clone(), Arc::clone(&findings));
        threads.push(std::thread::spawn(move || {
            let mut runs = 0;
            for attempt in 0..=RETRIES {
                let mut flow = match client.open(ROUTE) {
                    Ok(flow) => flow,
                    Err(failure) => {
                        record.line(&format!("change-{number}.{attempt}: no flow: {failure:?}"));
                        continue;
                    }
                };
                let id = format!("change-{number}.{attempt}");
                let answer = flow.ask(&id, DEADLINE);
                let holder = hosts.iter().find(|host| host.holds(flow.local, flow.route));
                let begun = hosts.iter().any(|host| host.runs_of(&id) > 0);
                if let (Err(Failure::ResetBySystem), Some(holder)) = (&answer, holder) {
                    let name = &holder.settings.id;
                    let text = format!(
                        "{id}: flow {} reset, open at {name}; runs: {begun}",
                        flow.local
                    );
                    findings.add(text);
                }
                sleep(LONG_WAIT);
                runs += hosts.iter().map(|host| host.runs_of(&id)).sum::<u32>();
                if answer != Err(Failure::ResetBySystem) {
                    break;
                }
            }
            if runs > 1 {
                record.line(&format!("change-{number} ran {runs} times"));
            }
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    system.deployment.keep_logs(logs);
    Some(findings.list())
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
        "burst" => burst(&record, trouble, &logs),
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
