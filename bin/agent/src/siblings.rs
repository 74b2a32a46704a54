//! Polls the load of the siblings, the other agents of the service.

use std::sync::Arc;
use std::time::Duration;

use api::{Member, SiblingLoad, path};
use rpc::Client;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use watcher::View;
use wire::Candidate;

use crate::packets::Command;
use crate::shared::SharedState;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Siblings polled per interval, in turn. A load is valid for 5 s, so the loads of five siblings
/// are known, at 1.1 KB/s both ways. Polling all siblings would cause traffic that grows with the
/// square of the number of agents.
const MAX_POLLS: usize = 1;

/// Polls siblings and reports their loads to the packet loop until the task is dropped.
pub async fn run(
    shared: Arc<SharedState>,
    client: Client,
    views: watch::Receiver<Arc<View>>,
    commands: mpsc::Sender<Command>,
) {
    let mut tick = interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_sibling = 0;
    loop {
        tick.tick().await;
        let siblings = list_siblings(&shared, &views.borrow().clone());
        let known = shared.handler.sibling_loads();
        let mut polls = JoinSet::new();
        for offset in 0..siblings.len().min(MAX_POLLS) {
            let sibling = &siblings[(next_sibling + offset) % siblings.len()];
            let candidate = Candidate {
                address: sibling.packets,
                incarnation: sibling.incarnation,
            };
            // The request handler polls siblings, too; its loads are reused.
            if let Some((_, load)) = known.iter().find(|(http, _)| *http == sibling.http) {
                let load = Command::Load(candidate, load.flows);
                if commands.send(load).await.is_err() {
                    return;
                }
                continue;
            }
            let (client, http) = (client.clone(), sibling.http);
            polls.spawn(async move {
                let reply = client
                    .post(http.into(), path::LOAD, &(), POLL_TIMEOUT)
                    .await;
                reply.ok().map(|load: SiblingLoad| (candidate, load))
            });
        }
        next_sibling = next_sibling.wrapping_add(MAX_POLLS);
        while let Some(poll) = polls.join_next().await {
            if let Ok(Some((candidate, load))) = poll
                && commands
                    .send(Command::Load(candidate, load.flows))
                    .await
                    .is_err()
            {
                return;
            }
        }
    }
}

fn list_siblings(shared: &SharedState, view: &View) -> Vec<Member> {
    let service = shared.service.borrow().as_ref().map(|s| s.id);
    let Some(tables) = service.and_then(|id| view.tables.get(&id)) else {
        return Vec::new();
    };
    tables
        .current
        .members
        .iter()
        .filter(|m| m.state.takes_work() && m.packets != shared.settings.packets)
        .cloned()
        .collect()
}
