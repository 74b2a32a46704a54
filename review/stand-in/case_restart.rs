//! A host is added, and the daemon beside it is stopped and started once soon after.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Failure;
use crate::machines::{Deployment, ROUTE_IP, document};
use crate::record::Record;

const SERVICE: &str = "huvo11a";
const ANSWER_LIMIT: Duration = Duration::from_secs(8);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> bool {
    let mut deployment = Deployment::start(folder, record, &[SERVICE, SERVICE, SERVICE]);
    let service = format!(r#""service":"{SERVICE}""#);
    deployment.configure(&document(7, &[(8443, service)], &[SERVICE]));
    deployment.wait_ready();
    std::thread::sleep(Duration::from_secs(3));
    let client = deployment.client();
    let route = SocketAddrV4::new(ROUTE_IP, 8443);
    let added = deployment.add_side(SERVICE, "zone-a", Duration::ZERO);
    let started = Instant::now();
    let mut flows = Vec::new();
    while started.elapsed() < Duration::from_millis(900) {
        let mut flow = deployment.open(&client, route);
        let id = format!("first-{}", flows.len());
        let first = flow.ask(&id, ANSWER_LIMIT);
        let holder = deployment.holder(&flow);
        if holder == Some(added) {
            record.line(&format!("{id} on the added host: {first:?}"));
        }
        flows.push(flow);
    }
    if trouble {
        deployment.sides[added].agent.stop();
        deployment.sides[added].agent.start_again();
    }
    std::thread::sleep(Duration::from_secs(6));
    let (mut broken, mut there) = (0, 0);
    for (number, flow) in flows.iter_mut().enumerate() {
        if deployment.holder(flow) != Some(added) {
            continue;
        }
        there += 1;
        let id = format!("second-{number}");
        let result = flow.ask(&id, ANSWER_LIMIT);
        let runs = deployment.sides[added].host.runs(&id);
        let held = deployment.holder(flow) == Some(added);
        record.line(&format!(
            "flow {number}: {result:?}, runs {runs}, still held open: {held}"
        ));
        if result == Err(Failure::SystemReset) && held && flow.covered {
            broken += 1;
        }
    }
    deployment.copy_log_lines(&["\"msg\":\"reset\"", "report received"], 3);
    record.line(&format!(
        "{broken} of {there} open flows of the added host got a reset that it didn't send"
    ));
    deployment.end();
    broken > 0
}
