//! Planned work only: the daemons beside hosts are stopped and started in turn, a balancer is
//! added, a host drains, and the daemon beside it is stopped and started once more.

use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Failure, Flow};
use crate::machines::{Deployment, ROUTE_IP, document};
use crate::record::Record;

const SERVICE: &str = "huvo11a";
const FLOWS: usize = 90;
const ANSWER_LIMIT: Duration = Duration::from_secs(8);
const GAP: Duration = Duration::from_millis(1_300);

pub fn run(folder: &Path, record: &Arc<Record>, trouble: bool) -> bool {
    let mut deployment = Deployment::start(folder, record, &[SERVICE; 6]);
    let service = format!(r#""service":"{SERVICE}""#);
    deployment.configure(&document(7, &[(8443, service)], &[SERVICE]));
    deployment.wait_ready();
    std::thread::sleep(Duration::from_secs(3));
    let client = deployment.client();
    let route = SocketAddrV4::new(ROUTE_IP, 8443);
    let mut flows: Vec<Flow> = Vec::new();
    for number in 0..FLOWS {
        let mut flow = deployment.open(&client, route);
        let _ = flow.ask(&format!("first-{number}"), ANSWER_LIMIT);
        flows.push(flow);
    }
    let leaving = 0;
    let mut there: Vec<(usize, Flow)> = flows.into_iter().enumerate().collect();
    there.retain(|(_, flow)| deployment.holder(flow) == Some(leaving));
    if trouble {
        for index in 0..deployment.sides.len() {
            deployment.sides[index].agent.stop();
            deployment.sides[index].agent.start_again();
            std::thread::sleep(GAP);
        }
        deployment.add_balancer();
        deployment.wait_ready();
        deployment.sides[leaving].host.drain();
        record.line(&format!("host of side {leaving} drains"));
        std::thread::sleep(GAP);
        deployment.sides[leaving].agent.stop();
        deployment.sides[leaving].agent.start_again();
    }
    let restarted = Instant::now();
    let asked = there.len();
    let askers: Vec<_> = there
        .into_iter()
        .map(|(number, mut flow)| {
            std::thread::spawn(move || {
                let id = format!("second-{number}");
                std::thread::sleep(Duration::from_millis(100 + 50 * (number as u64 % 20)));
                let result = flow.ask(&id, ANSWER_LIMIT);
                (id, flow, result)
            })
        })
        .collect();
    let mut broken = 0;
    for asker in askers {
        let Ok((id, flow, result)) = asker.join() else {
            continue;
        };
        // The host closes a flow after an answer, but not because of a reset that it never sees.
        let held = deployment.holder(&flow) == Some(leaving);
        record.line(&format!(
            "{id}: {result:?}, still held open by the draining host: {held}"
        ));
        if result == Err(Failure::SystemReset) && held && flow.covered {
            broken += 1;
        }
    }
    record.line(&format!(
        "all answers {:?} after the restart",
        restarted.elapsed()
    ));
    deployment.copy_log_lines(&["\"msg\":\"reset\"", "members of"], 8);
    record.line(&format!(
        "{broken} of {asked} open flows of the draining host got a reset that it didn't send"
    ));
    deployment.end();
    broken > 0
}
