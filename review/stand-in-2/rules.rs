//! Checks of rules, by what clients and hosts have seen.

use crate::client::Client;
use crate::host::Host;
use crate::support::Record;

/// FLOW (a): counts the open flows with a reset while their host, which lives, holds them. The
/// stand-in for hosts never sends a reset itself. A flow counts only after an answered request, so
/// that it was open at its host for certain.
pub fn flow(client: &Client, hosts: &[&Host], ports: &[u16], record: &Record) -> usize {
    let mut broken = 0;
    let flows = client.flows.lock().unwrap();
    for port in ports {
        let holds = |host: &&&Host| host.seen.open.lock().unwrap().contains(port);
        let Some(owner) = hosts.iter().find(holds) else {
            continue;
        };
        let Some(flow) = flows.get(port) else {
            continue;
        };
        if matches!(flow.reset, Some((_, true))) && !flow.answers.is_empty() {
            broken += 1;
            record.line(&format!(
                "FLOW: the open flow of port {port} was reset while its host {} serves",
                owner.name
            ));
        }
    }
    broken
}
