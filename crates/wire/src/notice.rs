//! Ownership notices: an agent notifies another one of the flows that it owns.

use rpc::{Key, TAG_BYTES};
use units::{Epoch, Flow, ServiceId};

use crate::header::{
    CANDIDATE_BYTES, COUNT_OFFSET, Candidate, FIXED_BYTES, FLAGS_OFFSET, KIND_NOTICE, read_array,
    read_candidate, write_candidate, write_fixed,
};
use crate::load::{LOAD_BYTES, Load};
use crate::{MAX_DATAGRAM_BYTES, WireError};

/// Encoded size of a flow.
const FLOW_BYTES: usize = 12;

/// Encoded size of the owner and its load, between the fixed part and the flows.
const OWNER_BYTES: usize = CANDIDATE_BYTES + LOAD_BYTES;

/// Set if the owner is about to stop.
const FLAG_LEAVING: u8 = 1;

/// Maximum number of flows in a notice.
pub const MAX_NOTICE_FLOWS: usize =
    (MAX_DATAGRAM_BYTES - FIXED_BYTES - OWNER_BYTES - TAG_BYTES) / FLOW_BYTES;

/// Flows that an agent owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Service.
    pub service: ServiceId,
    /// Flows, at most [`MAX_NOTICE_FLOWS`]; empty if only the load is reported.
    pub flows: Vec<Flow>,
    /// Owner.
    pub owner: Candidate,
    /// Load of the owner.
    pub load: Load,
    /// The owner is about to stop; another process may replace it.
    pub leaving: bool,
}

/// Writes a notice datagram to `out`, which is cleared first.
///
/// # Errors
/// If there are too many flows.
pub fn encode_notice(key: &Key, notice: &Notice, out: &mut Vec<u8>) -> Result<(), WireError> {
    let count = notice.flows.len();
    if count > MAX_NOTICE_FLOWS {
        return Err(WireError::TooLong(count * FLOW_BYTES));
    }
    out.clear();
    write_fixed(
        out,
        KIND_NOTICE,
        [0, count as u8, u8::from(notice.leaving) * FLAG_LEAVING, 0],
        notice.service,
        Epoch(0),
    );
    write_candidate(out, &notice.owner);
    out.extend_from_slice(&notice.load.to_bytes());
    for flow in &notice.flows {
        out.extend_from_slice(&flow.to_bytes());
    }
    let tag = key.tag(&[out]);
    out.extend_from_slice(&tag);
    Ok(())
}

pub(crate) fn decode(key: &Key, datagram: &[u8], service: ServiceId) -> Result<Notice, WireError> {
    let count = usize::from(datagram[COUNT_OFFSET]);
    let length = FIXED_BYTES + OWNER_BYTES + count * FLOW_BYTES + TAG_BYTES;
    if datagram.len() != length {
        return Err(WireError::Truncated);
    }
    let (body, tag) = datagram.split_at(length - TAG_BYTES);
    if !key.verify_tag(&[body], tag) {
        return Err(WireError::Tag);
    }
    let owner = read_candidate(body, FIXED_BYTES)?;
    let load = Load::from_bytes(read_array(body, FIXED_BYTES + CANDIDATE_BYTES)?);
    let flows = body[FIXED_BYTES + OWNER_BYTES..]
        .as_chunks::<FLOW_BYTES>()
        .0
        .iter()
        .map(|raw| Flow::from_bytes(*raw))
        .collect();
    Ok(Notice {
        service,
        flows,
        owner,
        load,
        leaving: body[FLAGS_OFFSET] & FLAG_LEAVING != 0,
    })
}
