//! Packets that the backend server sends to callers or returns.

use std::time::Duration;

use tokio::time::Instant;
use wire::Segment;

use crate::occupancy::RequestState;
use crate::pending::PendingSyn;
use crate::{Action, DropReason, Forwarder, Reason, Timing, UnplacedSyn};

impl Forwarder {
    /// Handles a packet from the backend server to a caller.
    pub(crate) fn handle_outbound(
        &mut self,
        now: Instant,
        segment: &Segment,
        out: &mut Vec<Action>,
    ) {
        self.unresponsive_since = None;
        out.push(Action::Reply);
        let flow = segment.flow;
        if !self.flows.contains_key(&flow) {
            if segment.rst {
                return;
            }
            // The flow opened before this agent started, or its state has expired.
            let state = self.insert_flow(flow, now);
            state.established = !segment.syn;
            if !segment.syn {
                self.register_learned(now, &flow, out);
            }
        }
        let Some(state) = self.flows.get_mut(&flow) else {
            return;
        };
        let was_ended = state.ended.is_some();
        let pending = state.pending_syn.take();
        let failed = segment.rst && state.established && !was_ended && state.request.is_some();
        let answers = state.outbound(now, segment);
        if failed {
            self.failure_rate.record_failure();
        }
        if let Some(pending) = &pending {
            let time = now.saturating_duration_since(pending.delivered_at);
            self.timings.push((Timing::SynAnswer, time));
        }
        if answers {
            if let Some(RequestState::Processing(since)) = state.request {
                let time = now.saturating_duration_since(since);
                self.timings.push((Timing::Request, time));
                self.failure_rate.record_answer();
                if std::mem::take(&mut state.multi_packet) {
                    self.occupancy.record_processing(time);
                }
            }
            self.end_request(&flow);
        }
        self.close_if_ended(&flow, was_ended);
        let origin = pending.and_then(|pending| pending.header.hints.origin);
        if let Some(to) = origin
            && segment.syn
        {
            let flows = vec![flow];
            out.push(Action::Notify { to, flows });
        }
    }

    /// Handles a caller's packet that the backend server returned.
    pub(crate) fn handle_returned(
        &mut self,
        now: Instant,
        segment: &Segment,
        out: &mut Vec<Action>,
    ) {
        self.unresponsive_since = None;
        let flow = segment.flow;
        if let Some(header) = self.offers.take_header(&flow) {
            self.offers.record_returned(flow, now);
            // Only the agent whose backend server opened the flow sends the notice behind a
            // redirect, so the flow is lost.
            let action = if header.is_redirected_at_first_hop() && !segment.rst {
                self.end_search(&header)
            } else {
                self.forward_to_next(now, &header, segment, Reason::Returned)
            };
            return out.push(action);
        }
        let Some(mut state) = self.remove_flow(&flow) else {
            // For example a packet that was offered before the backend server had reported.
            if !segment.opens() {
                self.offers.record_returned(flow, now);
            }
            return out.push(Action::Drop(DropReason::Stray));
        };
        if segment.opens() {
            out.push(match state.pending_syn.take() {
                Some(pending) => self.place_returned(now, segment, *pending),
                // A copy of a SYN that was already forwarded.
                None => Action::Drop(DropReason::Stray),
            });
        } else if state.established && !segment.rst {
            self.offers.record_returned(flow, now);
            out.push(Action::Reset {
                flow,
                seq: segment.ack_number,
                reason: Reason::Lost,
            });
        } else {
            out.push(Action::Drop(DropReason::Stray));
        }
    }

    /// Forwards a SYN that the backend server returned to the next candidate, if there is one.
    fn place_returned(&self, now: Instant, segment: &Segment, pending: PendingSyn) -> Action {
        let flow = segment.flow;
        if let Some(header) = self.reroute_pending(&flow, &pending) {
            return Action::Forward(header, Reason::Returned);
        }
        let syn = UnplacedSyn {
            flow,
            header: pending.header,
            inner: pending.inner,
            copy_number: segment.copy_number(),
            waited: Duration::ZERO,
        };
        self.give_up_syn(now, syn)
    }
}
