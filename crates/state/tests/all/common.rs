//! Test fixtures: commands, declarations and members.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::net::{Ipv4Addr, SocketAddrV4};

use api::{Member, MemberState};
use profile::{Declaration, Profile, Service};
use state::{Action, Command, Outcome, State, TableChange};
use units::{Incarnation, Millis, ServiceId, Slots, Version, Weight};

pub const NOW: Millis = Millis(1_000_000);

/// State with a clock and a counter for operator keys.
#[derive(Default)]
pub struct Log {
    pub state: State,
    pub now: Millis,
    pub key_count: u64,
}

impl Log {
    pub fn new() -> Self {
        Self {
            now: NOW,
            ..Self::default()
        }
    }

    pub fn run(&mut self, action: Action) -> Outcome {
        let command = Command {
            proposed_at: self.now,
            action,
        };
        let raw = command.encode().unwrap();
        let index = self.state.index() + 1;
        Outcome::decode(&self.state.apply(index, &raw)).unwrap()
    }

    pub fn next_key(&mut self) -> String {
        self.key_count += 1;
        format!("{}-{}", self.now, self.key_count)
    }

    pub fn put_with_key(&mut self, key: &str, expected: u64, body: Declaration) -> Outcome {
        self.run(Action::Put {
            expected: Version(expected),
            key: key.into(),
            author: "ann".into(),
            body,
        })
    }

    pub fn put(&mut self, expected: u64, body: Declaration) -> Outcome {
        let key = self.next_key();
        self.put_with_key(&key, expected, body)
    }

    pub fn retire(&mut self, kind: &str, name: &str, expected: u64) -> Outcome {
        let key = self.next_key();
        self.run(Action::Retire {
            kind: kind.into(),
            name: name.into(),
            expected: Version(expected),
            key: key.into(),
            author: "ben".into(),
        })
    }

    /// Profile `p` at version 1 and service `s` at version 2.
    pub fn with_service() -> Self {
        let mut log = Self::new();
        assert_eq!(version(&log.put(0, profile("p", 0))), 1);
        assert_eq!(version(&log.put(0, service("s", "p", 1))), 2);
        log
    }

    pub fn id(&self, name: &str) -> ServiceId {
        self.state.service(&name.parse().unwrap()).unwrap().id
    }

    pub fn change_members(&mut self, put: &[Member], gone: &[(&str, u64)]) {
        let service = self.id("s");
        let gone = gone.iter();
        let change = TableChange {
            service,
            put: put.to_vec(),
            gone: gone
                .map(|(h, i)| (h.parse().unwrap(), Incarnation(*i)))
                .collect(),
        };
        self.run(Action::Members(vec![change]));
    }
}

pub fn version(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Put(reply) => reply.version.0,
        other => panic!("{other:?}"),
    }
}

pub fn profile(name: &str, warmup: u64) -> Declaration {
    let text = format!(r#"{{"name":"{name}","warmup_ms":{warmup}}}"#);
    Declaration::Profile(serde_json::from_str::<Profile>(&text).unwrap())
}

pub fn service(name: &str, profile: &str, octet: u8) -> Declaration {
    Declaration::Service(Service {
        name: name.parse().unwrap(),
        tenant: "t".parse().unwrap(),
        profile: profile.parse().unwrap(),
        address: Some(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, octet), 80)),
        region: Default::default(),
    })
}

pub fn member(host: &str, incarnation: u64, state: MemberState) -> Member {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9000);
    Member {
        host: host.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        packets: address,
        http: address,
        centre: "dc-1".parse().unwrap(),
        slots: Slots(2),
        weight: Weight(100),
        state,
    }
}
