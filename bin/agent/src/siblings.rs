//! Load polls of the siblings.

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
use crate::shared::Shared;

/// Time between two polls.
const INTERVAL: Duration = Duration::from_secs(1);

/// Longest poll.
const LIMIT: Duration = Duration::from_millis(800);

/// Siblings asked in one interval, in turn. A load counts for 5 s, so that five siblings are known, at
/// 1.1 KB/s both ways instead of traffic that grows with the square of the service.
const MOST: usize = 1;

/// Polls until the task is dropped.
pub async fn run(
    shared: Arc<Shared>,
    client: Client,
    views: watch::Receiver<Arc<View>>,
    commands: mpsc::Sender<Command>,
) {
    let mut tick = interval(INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut turn = 0;
    loop {
        tick.tick().await;
        let siblings = list(&shared, &views.borrow().clone());
        let known = shared.handler.sibling_loads();
        let mut polls = JoinSet::new();
        for offset in 0..siblings.len().min(MOST) {
            let sibling = &siblings[(turn + offset) % siblings.len()];
            let candidate = Candidate {
                address: sibling.packets,
                incarnation: sibling.incarnation,
            };
            // The request handler polls by itself.
            if let Some((_, load)) = known.iter().find(|(http, _)| *http == sibling.http) {
                let load = Command::Load(candidate, load.flows);
                if commands.send(load).await.is_err() {
                    return;
                }
                continue;
            }
            let (client, http) = (client.clone(), sibling.http);
            polls.spawn(async move {
                let answer = client.post(http.into(), path::LOAD, &(), LIMIT).await;
                answer.ok().map(|load: SiblingLoad| (candidate, load))
            });
        }
        turn = turn.wrapping_add(MOST);
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

fn list(shared: &Shared, view: &View) -> Vec<Member> {
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
