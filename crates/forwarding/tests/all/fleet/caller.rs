//! A caller: opens a flow, sends requests one after the other, and ends it.

use units::Flow;
use wire::Segment;

use crate::common::{data, fin, syn};

/// Sequence number of the first request; the next ones follow by one each.
const FIRST: u32 = 101;

/// How a flow stands for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The SYN is out.
    Opening,
    /// A request is out.
    Asking,
    /// The FIN is out.
    Closing,
    /// Ended as planned.
    Served,
    /// Ended by a reset.
    Reset,
}

#[derive(Debug)]
pub struct Caller {
    pub flow: Flow,
    pub stage: Stage,
    /// Number of the SYN-ACK that came first.
    pub initial: Option<u32>,
    /// Answers that moved it on.
    pub answers: u32,
    request: u32,
    left: u32,
}

impl Caller {
    pub fn new(flow: Flow, requests: u32) -> Self {
        Self {
            flow,
            stage: Stage::Opening,
            initial: None,
            answers: 0,
            request: FIRST,
            left: requests,
        }
    }

    pub fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Served | Stage::Reset)
    }

    /// The segment that is out, which is repeated until it is answered.
    pub fn segment(&self) -> Option<Segment> {
        let initial = self.initial.unwrap_or(0);
        match self.stage {
            Stage::Opening => Some(syn(self.flow)),
            Stage::Asking => Some(Segment {
                seq: self.request,
                ..data(self.flow, initial)
            }),
            Stage::Closing => Some(fin(self.flow, initial)),
            Stage::Served | Stage::Reset => None,
        }
    }

    /// Takes a segment of the backend server; returns whether the next one is due.
    pub fn take(&mut self, segment: &Segment) -> bool {
        if segment.syn {
            if self.stage != Stage::Opening {
                return false;
            }
            self.initial = Some(segment.seq);
            self.stage = Stage::Asking;
            self.answers += 1;
            return true;
        }
        match self.stage {
            Stage::Asking if !segment.fin && segment.ack_number == self.request => {
                self.request += 1;
                self.answers += 1;
                self.left -= 1;
                if self.left == 0 {
                    self.stage = Stage::Closing;
                }
                true
            }
            Stage::Closing if segment.fin => {
                self.stage = Stage::Served;
                false
            }
            _ => false,
        }
    }

    /// Takes a reset.
    pub fn reset(&mut self) {
        if !self.is_done() {
            self.stage = Stage::Reset;
        }
    }
}
