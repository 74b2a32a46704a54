//! Task that leads: ticks the membership and proposes what it decides.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use api::TargetKind;
use membership::{Action, Event};
use replica::Role;
use slog::{Logger, debug, info, warn};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::node::{Node, now};

/// Time between ticks; adds to the coalescing time of table changes.
const TICK: Duration = Duration::from_millis(50);

/// Time until leadership is handed over again while a planned change lasts.
const TRANSFER_EVERY: Duration = Duration::from_secs(2);

/// Runs as long as the process.
pub async fn run(node: Arc<Node>, log: Logger) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leader = Leader {
        node,
        log,
        term: None,
        busy: Arc::default(),
        transferred: None,
    };
    loop {
        ticks.tick().await;
        leader.tick().await;
    }
}

struct Leader {
    node: Arc<Node>,
    log: Logger,
    /// Term in which this replica leads.
    term: Option<u64>,
    /// Proposals of an earlier tick are not answered yet.
    busy: Arc<AtomicBool>,
    transferred: Option<Instant>,
}

impl Leader {
    async fn tick(&mut self) {
        let Ok(replica) = self.node.replica() else {
            return;
        };
        let status = replica.status();
        let term = (status.role == Role::Leader).then_some(status.term);
        if term != self.term {
            self.term = None;
            self.event(Event::BecomeFollower);
            if term.is_none() {
                info!(self.log, "no longer leader"; "term" => status.term);
                return;
            }
            // Leases and tables are compared, so the state must be current first.
            if let Err(e) = replica.confirm_leadership().await {
                debug!(self.log, "not leading yet"; "error" => %e);
                return;
            }
            self.term = term;
            info!(self.log, "leader"; "term" => status.term);
            self.event(Event::BecomeLeader);
        }
        if self.term.is_some() {
            self.event(Event::Tick);
            self.hand_over().await;
        }
    }

    /// Gives the event to the membership and proposes the result. While
    /// earlier proposals are open the result is dropped; a later tick makes it
    /// again.
    fn event(&self, event: Event<'_>) {
        let mut actions = Vec::new();
        {
            let state = self.node.state();
            let mut membership = self.node.membership();
            membership.handle(now(), &state, event, &mut actions);
        }
        if actions.is_empty() || self.busy.swap(true, Ordering::AcqRel) {
            return;
        }
        let (node, log) = (Arc::clone(&self.node), self.log.clone());
        let busy = Arc::clone(&self.busy);
        tokio::spawn(async move {
            for action in actions {
                let Action::Propose(action) = action else {
                    continue;
                };
                if let Err(e) = node.propose(action).await {
                    warn!(log, "proposal failed, it is made again"; "error" => %e);
                    break;
                }
            }
            busy.store(false, Ordering::Release);
        });
    }

    /// Hands leadership over when a planned change concerns this VM.
    async fn hand_over(&mut self) {
        let host = &self.node.settings.host;
        let planned = self
            .node
            .state()
            .is_draining(TargetKind::Control, host, now().unix);
        let recent = self
            .transferred
            .is_some_and(|at| at.elapsed() < TRANSFER_EVERY);
        if !planned || recent {
            return;
        }
        self.transferred = Some(Instant::now());
        let Ok(replica) = self.node.replica() else {
            return;
        };
        match replica.transfer_leadership().await {
            Ok(()) => info!(self.log, "handed leadership over for a planned change"),
            Err(e) => warn!(self.log, "cannot hand leadership over"; "error" => %e),
        }
    }
}
