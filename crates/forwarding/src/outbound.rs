//! Packets of the backend server, and those that it returns.

use tokio::time::Instant;
use wire::Segment;

use crate::occupancy::Busy;
use crate::{Action, DropReason, Forwarder, Reason, Timing};

impl Forwarder {
    /// A packet of the backend server to a caller.
    pub(crate) fn outbound(&mut self, now: Instant, segment: &Segment, out: &mut Vec<Action>) {
        self.silent = None;
        out.push(Action::Reply);
        let flow = segment.flow;
        if !self.held.contains_key(&flow) {
            if segment.rst {
                return;
            }
            // This agent started after the flow opened, or forgot it.
            let held = self.hold(flow, now);
            held.established = !segment.syn;
            if !segment.syn {
                self.register_learned(now, &flow, out);
            }
        }
        let Some(held) = self.held.get_mut(&flow) else {
            return;
        };
        let before = held.ended.is_some();
        let pending = held.pending.take();
        let fails = segment.rst && held.established && !before && held.busy.is_some();
        let answers = held.outbound(now, segment);
        if fails {
            self.failures.failed();
        }
        if let Some(pending) = &pending {
            let time = now.saturating_duration_since(pending.at);
            self.times.push((Timing::SynAnswer, time));
        }
        if answers {
            if let Some(Busy::Working(since)) = held.busy {
                let time = now.saturating_duration_since(since);
                self.times.push((Timing::Request, time));
                self.failures.answered();
                if std::mem::take(&mut held.long) {
                    self.occupancy.worked(time);
                }
            }
            self.finish(&flow);
        }
        self.note_ended(&flow, before);
        let origin = pending.and_then(|pending| pending.header.hints.origin);
        if let Some(to) = origin
            && segment.syn
        {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
    }

    /// A caller's packet that the backend server does not take.
    pub(crate) fn returned(&mut self, now: Instant, segment: &Segment, out: &mut Vec<Action>) {
        self.silent = None;
        let flow = segment.flow;
        if let Some(header) = self.offers.take(&flow) {
            self.offers.note_returned(flow, now);
            // A redirect is only left by the agent whose backend server opened the flow.
            let action = if header.is_redirected_at_first_hop() && !segment.rst {
                lost(segment)
            } else {
                self.pass(now, &header, segment, Reason::Returned)
            };
            return out.push(action);
        }
        let Some(mut held) = self.release(&flow) else {
            // Among others, a packet that was offered before the backend server had reported.
            if !segment.opens() {
                self.offers.note_returned(flow, now);
            }
            return out.push(Action::Drop(DropReason::Stray));
        };
        if segment.opens() {
            let next = held.pending.take().map(|pending| {
                let next = self.pass_pending(&flow, &pending);
                next.map(|header| Action::Forward(header, Reason::Returned))
            });
            // Without the kept header the SYN is a copy of one that went on already.
            out.push(next.map_or(Action::Drop(DropReason::Stray), |next| {
                next.unwrap_or_else(|| self.refuse(now, flow))
            }));
        } else if held.established && !segment.rst {
            self.offers.note_returned(flow, now);
            out.push(lost(segment));
        } else {
            out.push(Action::Drop(DropReason::Stray));
        }
    }
}

/// Reset for a flow that the backend server does not hold any more.
fn lost(segment: &Segment) -> Action {
    Action::Reset {
        flow: segment.flow,
        seq: segment.ack_number,
        reason: Reason::Lost,
    }
}
