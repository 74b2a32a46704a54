//! A route with two weighted services; the balancers are stopped and started in turn.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client::Failure;
use crate::machines::{Deployment, ROUTE_IP, document};
use crate::record::Record;

const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];
const FLOWS: usize = 120;
const ANSWER_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two restarts, as the site file has it.
const GAP: Duration = Duration::from_millis(1_300);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> bool {
    let hosts = [
        SERVICES[0],
        SERVICES[0],
        SERVICES[0],
        SERVICES[1],
        SERVICES[1],
        SERVICES[1],
    ];
    let mut deployment = Deployment::start(folder, record, &hosts);
    let backends = format!(
        r#""backends":[{{"service":"{}","weight":90}},{{"service":"{}","weight":10}}]"#,
        SERVICES[0], SERVICES[1]
    );
    deployment.configure(&document(7, &[(8443, backends)], &SERVICES));
    deployment.wait_ready();
    std::thread::sleep(Duration::from_secs(3));
    let client = deployment.client();
    let route = SocketAddrV4::new(ROUTE_IP, 8443);
    let mut flows = Vec::new();
    for number in 0..FLOWS {
        let mut flow = deployment.open(&client, route);
        let first = flow.ask(&format!("first-{number}"), ANSWER_LIMIT);
        record.line(&format!(
            "flow {number} is at {:?}, {first:?}",
            deployment.holder(&flow)
        ));
        flows.push(flow);
    }
    if trouble {
        for index in 0..deployment.balancers.len() {
            deployment.balancers[index].stop();
            deployment.balancers[index].start_again();
            deployment.wait_ready();
            std::thread::sleep(GAP);
        }
    } else {
        std::thread::sleep(Duration::from_secs(5));
    }
    let mut broken = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let id = format!("second-{number}");
        let result = flow.ask(&id, ANSWER_LIMIT);
        let runs: u32 = deployment
            .sides
            .iter()
            .map(|side| side.host.runs(&id))
            .sum();
        let holder = deployment.holder(flow);
        record.line(&format!(
            "flow {number}: {result:?}, runs {runs}, held open by host {holder:?}"
        ));
        // FLOW (a): a reset that the flow's host did not send, while that host lives and holds it.
        if result == Err(Failure::SystemReset) && holder.is_some() && flow.covered {
            broken += 1;
        }
    }
    deployment.copy_log_lines(&["\"msg\":\"reset\""], 3);
    record.line(&format!(
        "{broken} of {FLOWS} open flows got a reset that their host didn't send"
    ));
    deployment.end();
    broken > 0
}
