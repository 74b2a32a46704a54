//! Planned work only: the daemons beside hosts are stopped and started in turn, a balancer is
//! added, and then a host on a machine with its own daemon.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Failure, Flow};
use crate::machines::{Deployment, ROUTE_IP, document};
use crate::record::Record;

const SERVICE: &str = "huvo11a";
/// Zones of the hosts at the start.
const ZONES: [&str; 7] = [
    "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c", "zone-c",
];
const FLOWS: u32 = 600;
const ANSWER_LIMIT: Duration = Duration::from_secs(8);
const GAP: Duration = Duration::from_millis(1_200);
/// Time between the start of the new machine's daemon and that of its host.
const HOST_PAUSE: Duration = Duration::from_millis(1_700);
/// When the first request is sent after the new host's start, and the pause between two.
const FIRST_REQUEST: Duration = Duration::from_millis(250);
const REQUEST_PAUSE: Duration = Duration::from_micros(350);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> bool {
    let mut deployment = Deployment::start_in(folder, record, &ZONES.map(|zone| (SERVICE, zone)));
    let service = format!(r#""service":"{SERVICE}""#);
    deployment.configure(&document(7, &[(8443, service)], &[SERVICE]));
    deployment.wait_ready();
    std::thread::sleep(Duration::from_secs(3));
    let client = deployment.client();
    let route = SocketAddrV4::new(ROUTE_IP, 8443);
    let mut flows: Vec<(Flow, Instant)> = Vec::new();
    for number in 0..FLOWS {
        let mut flow = deployment.open(&client, route);
        let _ = flow.ask(&format!("first-{number}"), ANSWER_LIMIT);
        flows.push((flow, Instant::now()));
    }
    if trouble {
        for index in 0..ZONES.len() {
            deployment.sides[index].agent.stop();
            deployment.sides[index].agent.start_again();
            std::thread::sleep(GAP);
        }
        deployment.add_balancer();
        deployment.wait_ready();
        deployment.add_side(SERVICE, "zone-a", HOST_PAUSE);
    }
    let askers: Vec<_> = (0..)
        .zip(flows)
        .map(|(number, (mut flow, used)): (u32, _)| {
            std::thread::spawn(move || {
                let id = format!("second-{number}");
                std::thread::sleep(FIRST_REQUEST + REQUEST_PAUSE * number);
                let result = flow.ask(&id, ANSWER_LIMIT);
                (id, flow, result, used.elapsed())
            })
        })
        .collect();
    let mut broken = 0;
    for asker in askers {
        let Ok((id, flow, result, idle)) = asker.join() else {
            continue;
        };
        let holder = deployment.holder(&flow);
        if result.is_err() {
            record.line(&format!(
                "{id}: {result:?}, idle for {idle:?}, held open by host {holder:?}"
            ));
        }
        if result == Err(Failure::SystemReset) && holder.is_some() && flow.covered {
            broken += 1;
        }
    }
    deployment.copy_log_lines(&["\"msg\":\"reset\"", "member table applied"], 8);
    record.line(&format!(
        "{broken} of {FLOWS} open flows got a reset that their host didn't send"
    ));
    deployment.end();
    broken > 0
}
