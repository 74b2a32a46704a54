//! Leader task: sends ticks to the membership and proposes its decisions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use api::TargetKind;
use membership::{Action, Event};
use replica::Role;
use slog::{Logger, debug, info, warn};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::node::{Node, now};

/// Time between ticks, which adds to the coalescing delay of table changes.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between attempts to transfer leadership during a planned change.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(2);

/// Runs until the process ends.
pub async fn run(node: Arc<Node>, log: Logger) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut task = LeaderTask {
        node,
        log,
        term: None,
        proposing: Arc::default(),
        last_transfer: None,
    };
    loop {
        ticks.tick().await;
        task.tick().await;
    }
}

struct LeaderTask {
    node: Arc<Node>,
    log: Logger,
    /// Term in which this replica leads.
    term: Option<u64>,
    /// Whether proposals of an earlier event are still pending.
    proposing: Arc<AtomicBool>,
    /// Time of the last attempt to transfer leadership.
    last_transfer: Option<Instant>,
}

impl LeaderTask {
    async fn tick(&mut self) {
        let Ok(replica) = self.node.replica() else {
            return;
        };
        let status = replica.status();
        let term = (status.role == Role::Leader).then_some(status.term);
        if term != self.term {
            self.term = None;
            self.handle_event(Event::BecomeFollower);
            if term.is_none() {
                info!(self.log, "lost leadership"; "term" => status.term);
                return;
            }
            // The membership compares its leases with the tables, so all committed entries must be
            // applied first.
            if let Err(e) = replica.confirm_leadership().await {
                debug!(self.log, "leadership is not confirmed yet"; "error" => %e);
                return;
            }
            self.term = term;
            info!(self.log, "became leader"; "term" => status.term);
            self.handle_event(Event::BecomeLeader);
        }
        if self.term.is_some() {
            self.handle_event(Event::Tick);
            self.transfer_leadership().await;
        }
    }

    /// Passes the event to the membership and proposes the resulting actions. While earlier
    /// proposals are pending the actions are dropped; a later tick produces them again.
    fn handle_event(&self, event: Event<'_>) {
        let mut actions = Vec::new();
        {
            let state = self.node.state();
            let mut membership = self.node.membership();
            membership.handle(now(), &state, event, &mut actions);
        }
        if actions.is_empty() || self.proposing.swap(true, Ordering::AcqRel) {
            return;
        }
        let (node, log) = (Arc::clone(&self.node), self.log.clone());
        let proposing = Arc::clone(&self.proposing);
        tokio::spawn(async move {
            for action in actions {
                let Action::Propose(action) = action else {
                    continue;
                };
                if let Err(e) = node.propose(action).await {
                    warn!(log, "proposal failed; a later tick retries it"; "error" => %e);
                    break;
                }
            }
            proposing.store(false, Ordering::Release);
        });
    }

    /// Transfers leadership when a planned change drains this VM.
    async fn transfer_leadership(&mut self) {
        let host = &self.node.settings.host;
        let planned = self
            .node
            .state()
            .is_draining(TargetKind::Control, host, now().unix);
        let recent = self
            .last_transfer
            .is_some_and(|time| time.elapsed() < TRANSFER_INTERVAL);
        if !planned || recent {
            return;
        }
        self.last_transfer = Some(Instant::now());
        let Ok(replica) = self.node.replica() else {
            return;
        };
        match replica.transfer_leadership().await {
            Ok(()) => info!(self.log, "transferred leadership for a planned change"),
            Err(e) => warn!(self.log, "cannot transfer leadership"; "error" => %e),
        }
    }
}
