//! Idempotency keys at a replica agent.

use api::{Claim, KeyMember, KeySet, RequestKey};
use idempotency::{ClaimReplica, ReplicaLimits};
use units::Millis;

use crate::fixture;
use crate::measure::{memory_of, time_per};
use crate::{MeasureError, Options, Slope};

/// Time of the first key.
const START: u64 = 1_796_000_000_000;

fn replica() -> ClaimReplica {
    let member = fixture::member(0);
    let limits = ReplicaLimits {
        keys: usize::MAX,
        ..ReplicaLimits::default()
    };
    let mut replica = ClaimReplica::new(member.host.clone(), member.incarnation, limits);
    let key_member = KeyMember {
        host: member.host,
        incarnation: member.incarnation,
        http: member.http,
    };
    let sets = [KeySet {
        start: Millis(START - 1_000),
        members: vec![key_member],
    }];
    replica.configure(Millis(600_000), &sets, Millis(START + 60_000));
    replica
}

fn claim(n: usize) -> Claim {
    Claim {
        service: fixture::view(0).id,
        key: RequestKey {
            time: Millis(START),
            text: format!("order-{n:012}").into(),
        },
        attempt: n as u128 + 1,
        incarnation: fixture::member(0).incarnation,
        digest: n as u64,
    }
}

fn filled(keys: usize) -> ClaimReplica {
    let mut replica = replica();
    for n in 0..keys {
        replica.claim(Millis(START), &claim(n));
    }
    replica
}

pub(crate) fn slopes(options: Options) -> Result<Vec<Slope>, MeasureError> {
    let sizes = [2_000, 20_000, 100_000, 200_000].map(|keys| keys / options.divisor);
    let (mut memory, mut time) = (Vec::new(), Vec::new());
    for keys in sizes {
        memory.push((keys as f64, memory_of(options.allocated, || filled(keys))));
        let mut replica = filled(keys);
        let mut next = keys;
        let ns = time_per(2_000, |_| {
            replica.claim(Millis(START), &claim(next));
            next += 1;
        })?;
        time.push((keys as f64, ns));
    }
    Ok(vec![
        Slope::new("agent", "memory of remembered keys", "key", "B", memory),
        Slope::new(
            "agent",
            "processor time per claim at a replica",
            "key held",
            "ns",
            time,
        ),
    ])
}
