//! Estimates how many slots of the backend server are in use.
//!
//! A request occupies a slot from its last packet until its response begins.
//! While a request of several packets is still arriving, the backend server
//! can't process it; it counts as a fraction of a slot, the mean processing time
//! of such requests as a share of their mean total time.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// State of a flow's current request, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// The flow was accepted; its first request is expected immediately.
    Reserved(Instant),
    /// Part of the request has arrived.
    Receiving(Instant),
    /// The backend server has the whole request and has not answered.
    Processing(Instant),
}

/// Number of requests in each state, and their mean times.
#[derive(Debug, Default)]
pub(crate) struct Occupancy {
    /// Requests that occupy a whole slot.
    full_slots: u16,
    receiving: u16,
    /// Mean time from the first to the last packet of requests with more than one packet.
    mean_receive_secs: f64,
    /// Mean time from the last packet of such requests to the response.
    mean_processing_secs: f64,
}

impl Occupancy {
    /// Updates the counters for a flow that changes from one state to another.
    pub(crate) fn transition(&mut self, from: Option<RequestState>, to: Option<RequestState>) {
        if let Some(from) = from {
            let count = self.counter(from);
            *count = count.saturating_sub(1);
        }
        if let Some(to) = to {
            let count = self.counter(to);
            *count = count.saturating_add(1);
        }
    }

    fn counter(&mut self, state: RequestState) -> &mut u16 {
        match state {
            RequestState::Receiving(_) => &mut self.receiving,
            RequestState::Reserved(_) | RequestState::Processing(_) => &mut self.full_slots,
        }
    }

    /// Records the time from the first to the last packet of a request.
    pub(crate) fn record_receive(&mut self, time: Duration) {
        update_mean(&mut self.mean_receive_secs, time);
    }

    /// Records the processing time of a request with more than one packet.
    pub(crate) fn record_processing(&mut self, time: Duration) {
        update_mean(&mut self.mean_processing_secs, time);
    }

    /// Number of slots in use.
    pub(crate) fn slots_in_use(&self) -> u16 {
        // Without samples, each request counts as a whole slot.
        let share = if self.mean_processing_secs > 0.0 {
            self.mean_processing_secs / (self.mean_processing_secs + self.mean_receive_secs)
        } else {
            1.0
        };
        let shares = f64::from(self.receiving) * share;
        self.full_slots.saturating_add(shares as u16)
    }
}

fn update_mean(mean: &mut f64, time: Duration) {
    let sample = time.as_secs_f64();
    *mean = if *mean > 0.0 {
        *mean + EWMA_WEIGHT * (sample - *mean)
    } else {
        sample
    };
}
