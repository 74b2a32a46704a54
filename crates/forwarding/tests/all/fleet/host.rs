//! A backend server that ends flows itself.

use std::collections::{HashMap, VecDeque};

use units::Flow;
use wire::Segment;

use crate::common::{answer, syn_ack};

/// What a backend server sends to its agent.
#[derive(Debug, Clone, Copy)]
pub enum Sent {
    /// A segment for the caller.
    Reply(Segment),
    /// A caller's segment that it doesn't take.
    Returned(Segment),
}

#[derive(Debug)]
struct Open {
    initial: u32,
    confirmed: bool,
    /// Last request that was taken.
    taken: u32,
    /// Last request that was answered.
    answered: u32,
}

#[derive(Debug)]
pub struct Host {
    /// Number of its start.
    pub start: u64,
    /// Packets of flows that it doesn't hold, by flow.
    pub strangers: HashMap<Flow, u32>,
    open: HashMap<Flow, Open>,
    /// Last segments of ended flows, for copies of the caller's.
    ended: HashMap<Flow, Segment>,
    working: usize,
    queue: VecDeque<Flow>,
    slots: usize,
}

impl Host {
    pub fn new(start: u64, slots: u16) -> Self {
        Self {
            start,
            strangers: HashMap::new(),
            open: HashMap::new(),
            ended: HashMap::new(),
            working: 0,
            queue: VecDeque::new(),
            slots: usize::from(slots),
        }
    }

    /// Whether the caller and this backend server both take the flow for open.
    pub fn holds(&self, flow: &Flow, initial: u32) -> bool {
        let open = self.open.get(flow);
        open.is_some_and(|open| open.initial == initial)
    }

    /// Whether it has taken a request of the flow.
    pub fn began(&self, flow: &Flow) -> bool {
        self.ended.contains_key(flow) || self.open.get(flow).is_some_and(|open| open.taken > 0)
    }

    /// Flows that it holds, or whose last segment it may have to repeat, with its first numbers.
    pub fn flows(&self) -> impl Iterator<Item = (Flow, u32)> {
        let open = self.open.iter().map(|(flow, open)| (*flow, open.initial));
        // The last segment follows the answers, so its number tells the first one.
        let ended = self.ended.iter();
        open.chain(ended.map(|(flow, last)| (*flow, last.seq - 1)))
    }

    /// Takes a segment; returns what it sends and how many requests it begins.
    pub fn take(&mut self, segment: &Segment, initial: u32) -> (Option<Sent>, Vec<Flow>) {
        let flow = segment.flow;
        if segment.opens() {
            let open = self.open.entry(flow).or_insert(Open {
                initial,
                confirmed: false,
                taken: 0,
                answered: 0,
            });
            return (Some(Sent::Reply(syn_ack(flow, open.initial))), Vec::new());
        }
        let Some(open) = self.open.get_mut(&flow) else {
            if let Some(last) = self.ended.get(&flow) {
                return (Some(Sent::Reply(*last)), Vec::new());
            }
            *self.strangers.entry(flow).or_default() += 1;
            return (Some(Sent::Returned(*segment)), Vec::new());
        };
        if !open.confirmed && segment.ack_number != open.initial + 1 {
            return (Some(Sent::Returned(*segment)), Vec::new());
        }
        open.confirmed = true;
        if segment.fin || segment.rst {
            let initial = open.initial;
            self.open.remove(&flow);
            let last = Segment {
                fin: true,
                payload: 0,
                ..answer(flow, initial)
            };
            self.ended.insert(flow, last);
            return (segment.fin.then_some(Sent::Reply(last)), Vec::new());
        }
        if segment.seq > open.taken {
            open.taken = segment.seq;
            self.queue.push_back(flow);
            return (None, self.begin());
        }
        // A copy of a request that was answered gets the answer again.
        let again = (open.answered >= segment.seq).then(|| reply(flow, open));
        (again.map(Sent::Reply), Vec::new())
    }

    /// A request is done; returns its answer and the requests that begin.
    pub fn done(&mut self, flow: Flow) -> (Option<Sent>, Vec<Flow>) {
        self.working -= 1;
        let sent = self.open.get_mut(&flow).map(|open| {
            open.answered = open.taken;
            Sent::Reply(reply(flow, open))
        });
        (sent, self.begin())
    }

    fn begin(&mut self) -> Vec<Flow> {
        let free = self.slots.saturating_sub(self.working);
        let next: Vec<Flow> = self.queue.drain(..free.min(self.queue.len())).collect();
        self.working += next.len();
        next
    }
}

/// Answer to the last answered request: its number tells which one that was.
fn reply(flow: Flow, open: &Open) -> Segment {
    Segment {
        seq: open.initial + open.answered,
        ack_number: open.answered,
        ..answer(flow, open.initial)
    }
}
