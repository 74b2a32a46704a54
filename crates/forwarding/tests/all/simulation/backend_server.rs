//! A backend server that terminates flows itself.

use std::collections::{HashMap, VecDeque};

use units::Flow;
use wire::Segment;

use crate::common::{answer, syn_ack};

/// What a backend server sends to its agent.
#[derive(Debug, Clone, Copy)]
pub enum Output {
    /// A segment for the caller.
    Reply(Segment),
    /// A caller's segment of a flow that it doesn't have.
    Returned(Segment),
}

#[derive(Debug)]
struct OpenFlow {
    initial_seq: u32,
    confirmed: bool,
    /// Sequence number of the last request received.
    last_received: u32,
    /// Sequence number of the last request answered.
    last_answered: u32,
}

#[derive(Debug)]
pub struct BackendServer {
    /// Number of its process.
    pub incarnation: u64,
    /// Number of packets received of flows that it doesn't have, by flow.
    pub unknown_packets: HashMap<Flow, u32>,
    open: HashMap<Flow, OpenFlow>,
    /// Last segments of ended flows, sent again for retransmissions of the caller.
    ended: HashMap<Flow, Segment>,
    in_progress: usize,
    queue: VecDeque<Flow>,
    slots: usize,
}

impl BackendServer {
    pub fn new(incarnation: u64, slots: u16) -> Self {
        Self {
            incarnation,
            unknown_packets: HashMap::new(),
            open: HashMap::new(),
            ended: HashMap::new(),
            in_progress: 0,
            queue: VecDeque::new(),
            slots: usize::from(slots),
        }
    }

    /// Whether the flow with this initial sequence number is open.
    pub fn has_flow(&self, flow: &Flow, initial_seq: u32) -> bool {
        let open = self.open.get(flow);
        open.is_some_and(|open| open.initial_seq == initial_seq)
    }

    /// Whether it has accepted a SYN of the flow.
    pub fn has_any_flow(&self, flow: &Flow) -> bool {
        self.open.contains_key(flow)
    }

    /// Whether it has received a request of the flow.
    pub fn has_received_request(&self, flow: &Flow) -> bool {
        self.ended.contains_key(flow)
            || self
                .open
                .get(flow)
                .is_some_and(|open| open.last_received > 0)
    }

    /// Open flows, and ended ones whose last segment it may have to send again, with their initial
    /// sequence numbers.
    pub fn flows(&self) -> impl Iterator<Item = (Flow, u32)> {
        let open = self
            .open
            .iter()
            .map(|(flow, open)| (*flow, open.initial_seq));
        // The sequence number of the last segment is one above the initial one.
        let ended = self.ended.iter();
        open.chain(ended.map(|(flow, last)| (*flow, last.seq - 1)))
    }

    /// Handles a segment; returns its output and the flows whose requests start processing.
    pub fn receive(&mut self, segment: &Segment, initial_seq: u32) -> (Option<Output>, Vec<Flow>) {
        let flow = segment.flow;
        if segment.opens() {
            let open = self.open.entry(flow).or_insert(OpenFlow {
                initial_seq,
                confirmed: false,
                last_received: 0,
                last_answered: 0,
            });
            return (
                Some(Output::Reply(syn_ack(flow, open.initial_seq))),
                Vec::new(),
            );
        }
        let Some(open) = self.open.get_mut(&flow) else {
            if let Some(last) = self.ended.get(&flow) {
                return (Some(Output::Reply(*last)), Vec::new());
            }
            *self.unknown_packets.entry(flow).or_default() += 1;
            return (Some(Output::Returned(*segment)), Vec::new());
        };
        if !open.confirmed && segment.ack_number != open.initial_seq + 1 {
            return (Some(Output::Returned(*segment)), Vec::new());
        }
        open.confirmed = true;
        if segment.fin || segment.rst {
            let initial_seq = open.initial_seq;
            self.open.remove(&flow);
            let last = Segment {
                fin: true,
                payload: 0,
                ..answer(flow, initial_seq)
            };
            self.ended.insert(flow, last);
            return (segment.fin.then_some(Output::Reply(last)), Vec::new());
        }
        if segment.seq > open.last_received {
            open.last_received = segment.seq;
            self.queue.push_back(flow);
            return (None, self.start_queued());
        }
        // A retransmission of an answered request gets the response again.
        let again = (open.last_answered >= segment.seq).then(|| reply(flow, open));
        (again.map(Output::Reply), Vec::new())
    }

    /// Finishes a request; returns its response and the flows whose requests start processing.
    pub fn finish_request(&mut self, flow: Flow) -> (Option<Output>, Vec<Flow>) {
        self.in_progress -= 1;
        let sent = self.open.get_mut(&flow).map(|open| {
            open.last_answered = open.last_received;
            Output::Reply(reply(flow, open))
        });
        (sent, self.start_queued())
    }

    fn start_queued(&mut self) -> Vec<Flow> {
        let free = self.slots.saturating_sub(self.in_progress);
        let next: Vec<Flow> = self.queue.drain(..free.min(self.queue.len())).collect();
        self.in_progress += next.len();
        next
    }
}

/// Response to the last answered request; the acknowledgement number identifies the request.
fn reply(flow: Flow, open: &OpenFlow) -> Segment {
    Segment {
        seq: open.initial_seq + open.last_answered,
        ack_number: open.last_answered,
        ..answer(flow, open.initial_seq)
    }
}
