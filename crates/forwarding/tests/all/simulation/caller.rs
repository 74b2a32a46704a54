//! A caller that opens a flow, sends sequential requests and closes the flow.

use units::Flow;
use wire::Segment;

use crate::common::{data, fin, syn};

/// Sequence number of the first request; each further request increments it by one.
const FIRST_REQUEST_SEQ: u32 = 101;

/// State of a flow from the caller's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The SYN was sent.
    Opening,
    /// A request was sent.
    Requesting,
    /// The FIN was sent.
    Closing,
    /// Closed after all requests were answered.
    Served,
    /// Ended by a reset.
    Reset,
}

#[derive(Debug)]
pub struct Caller {
    pub flow: Flow,
    pub stage: Stage,
    /// Sequence number of the first SYN-ACK received.
    pub initial_seq: Option<u32>,
    /// Number of answers that advanced the flow.
    pub answers: u32,
    /// Number of SYNs sent.
    pub syns_sent: u32,
    /// Whether the backend server sent anything after its SYN-ACK: before, the caller can't know that
    /// the flow is open there, and takes a reset with any number.
    pub confirmed: bool,
    request_seq: u32,
    requests_left: u32,
}

impl Caller {
    pub fn new(flow: Flow, requests: u32) -> Self {
        Self {
            flow,
            stage: Stage::Opening,
            initial_seq: None,
            answers: 0,
            syns_sent: 0,
            confirmed: false,
            request_seq: FIRST_REQUEST_SEQ,
            requests_left: requests,
        }
    }

    pub fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Served | Stage::Reset)
    }

    /// The outstanding segment, which is retransmitted until it is answered.
    pub fn segment(&self) -> Option<Segment> {
        let initial_seq = self.initial_seq.unwrap_or(0);
        match self.stage {
            Stage::Opening => Some(Segment {
                ack_number: self.syns_sent,
                ..syn(self.flow)
            }),
            Stage::Requesting => Some(Segment {
                seq: self.request_seq,
                ..data(self.flow, initial_seq)
            }),
            Stage::Closing => Some(fin(self.flow, initial_seq)),
            Stage::Served | Stage::Reset => None,
        }
    }

    /// Handles a segment of the backend server; returns whether the next segment is to be sent.
    pub fn receive(&mut self, segment: &Segment) -> bool {
        if segment.syn {
            if self.stage != Stage::Opening {
                return false;
            }
            self.initial_seq = Some(segment.seq);
            self.stage = Stage::Requesting;
            self.answers += 1;
            return true;
        }
        self.confirmed = true;
        match self.stage {
            Stage::Requesting if !segment.fin && segment.ack_number == self.request_seq => {
                self.request_seq += 1;
                self.answers += 1;
                self.requests_left -= 1;
                if self.requests_left == 0 {
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

    /// Handles a reset.
    pub fn receive_reset(&mut self) {
        if !self.is_done() {
            self.stage = Stage::Reset;
        }
    }
}
