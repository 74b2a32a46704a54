//! Encoding and decoding of messages and log payloads, including damaged input.

use quickcheck::{Arbitrary, Gen, quickcheck};
use replication::{Body, Config, Entry, Member, MemberKind, Message, Payload, decode, encode};
use units::ReplicaId;

#[derive(Debug, Clone)]
struct Any<T>(T);

fn payload(g: &mut Gen) -> Payload {
    match u8::arbitrary(g) % 3 {
        0 => Payload::Empty,
        1 => Payload::Command(Vec::arbitrary(g).into()),
        _ => Payload::Config(config(g)),
    }
}

fn config(g: &mut Gen) -> Config {
    let member = |g: &mut Gen| Member {
        address: (u32::arbitrary(g).to_be_bytes(), u16::arbitrary(g)).into(),
        kind: *g
            .choose(&[MemberKind::Voter, MemberKind::Learner, MemberKind::Joining])
            .expect("kind"),
    };
    let count = u8::arbitrary(g) % 7;
    let members = (0..count)
        .map(|_| (ReplicaId(u64::arbitrary(g)), member(g)))
        .collect();
    Config {
        members,
        next_id: u64::arbitrary(g),
    }
}

impl Arbitrary for Any<Payload> {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(payload(g))
    }
}

impl Arbitrary for Any<Message> {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = |g: &mut Gen| u64::arbitrary(g);
        let entry = |g: &mut Gen| Entry {
            term: n(g),
            index: n(g),
            payload: payload(g),
        };
        let body = match u8::arbitrary(g) % 6 {
            0 => Body::PreVote {
                last_index: n(g),
                last_term: n(g),
            },
            1 => Body::Vote {
                last_index: n(g),
                last_term: n(g),
                transfer: bool::arbitrary(g),
            },
            2 => {
                let entries = (0..u8::arbitrary(g) % 4).map(|_| entry(g)).collect();
                Body::Append {
                    prev_index: n(g),
                    prev_term: n(g),
                    entries,
                    commit_index: n(g),
                }
            }
            3 => Body::Rejected {
                prev_index: n(g),
                hint_index: n(g),
                hint_term: n(g),
            },
            4 => Body::Chunk {
                index: n(g),
                index_term: n(g),
                config: config(g),
                total_bytes: n(g),
                offset: n(g),
                data: Vec::arbitrary(g).into(),
            },
            _ => Body::TakeOver,
        };
        Self(Message { term: n(g), body })
    }
}

quickcheck! {
    /// Guards against fields that get lost or swapped in encoding.
    fn messages_round_trip(message: Any<Message>) -> bool {
        let raw = encode("message", &message.0).expect("encode");
        decode::<Message>("message", &raw).is_ok_and(|back| back == message.0)
    }

    /// Guards against accepting a message that is truncated or followed by other bytes.
    fn truncated_and_extended_messages_are_rejected(message: Any<Message>, cut: usize) -> bool {
        let mut raw = encode("message", &message.0).expect("encode");
        let mut long = raw.clone();
        long.push(0);
        raw.truncate(cut % raw.len());
        decode::<Message>("message", &raw).is_err() && decode::<Message>("message", &long).is_err()
    }

    /// Guards against a panic on arbitrary input.
    fn arbitrary_input_does_not_panic(raw: Vec<u8>, kind: u8) -> bool {
        let _ = decode::<Message>("message", &raw);
        let _ = Payload::from_record(kind, raw);
        true
    }

    /// Guards against payloads that a log record does not preserve.
    fn payloads_round_trip(payload: Any<Payload>) -> bool {
        let (kind, bytes) = payload.0.to_record().expect("record");
        Payload::from_record(kind, bytes.0.to_vec()).is_ok_and(|back| back == payload.0)
    }
}
