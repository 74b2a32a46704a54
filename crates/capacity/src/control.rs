//! State machine of a control replica.

use api::{Scope, Watch};
use profile::Declaration;
use state::{Action, Command, State, TableChange};
use units::{Millis, Region, Version};

use crate::fixture::{self, HOSTS_PER_SERVICE};
use crate::measure::{memory_of, time_per};
use crate::message::encoded;
use crate::{MeasureError, Options, Slope};

const START: u64 = 1_796_000_000_000;

/// State machine with the number of its next entry.
struct Filled {
    state: State,
    index: u64,
}

impl Filled {
    fn apply(&mut self, action: Action) -> Vec<u8> {
        self.index += 1;
        let command = Command {
            proposed_at: Millis(START + self.index),
            action,
        };
        command
            .encode()
            .map(|raw| self.state.apply(self.index, &raw))
            .unwrap_or_default()
    }

    fn put(&mut self, expected: Version, body: Declaration) {
        let key = format!("{}-change-{}", START + self.index, self.index).into();
        self.apply(Action::Put {
            expected,
            key,
            author: "operator".into(),
            body,
        });
    }

    fn join(&mut self, service: usize, hosts: std::ops::Range<usize>) {
        let id = self
            .state
            .service(&fixture::service(service).name)
            .map(|entry| entry.id);
        let put = hosts.map(fixture::member).collect();
        if let Some(service) = id {
            self.apply(Action::Members(vec![TableChange {
                service,
                put,
                gone: Vec::new(),
            }]));
        }
    }
}

fn filled(services: usize) -> Filled {
    let mut filled = Filled {
        state: State::default(),
        index: 0,
    };
    for n in 0..services {
        if n < fixture::PROFILES {
            filled.put(Version(0), Declaration::Profile(fixture::profile(n)));
        }
        filled.put(Version(0), Declaration::Service(fixture::service(n)));
        filled.join(n, n * HOSTS_PER_SERVICE..(n + 1) * HOSTS_PER_SERVICE);
    }
    filled
}

/// Everything of the region, as a node asks that holds nothing.
fn whole() -> Watch {
    Watch {
        host: fixture::member(0).host,
        scope: Scope::Region(Region(0)),
        config: Version(0),
        horizon: Millis(0),
        index: 0,
        wait_ms: Millis(0),
        probe: false,
    }
}

pub(crate) fn slopes(options: Options) -> Result<Vec<Slope>, MeasureError> {
    let mut points: [Vec<(f64, f64)>; 7] = Default::default();
    for services in [21, 210, 1_050, 2_100].map(|services| (services / options.divisor).max(2)) {
        let hosts = (services * HOSTS_PER_SERVICE) as f64;
        points[0].push((hosts, memory_of(options.allocated, || filled(services))));
        let mut state = filled(services);
        let members = change_member(&mut state)?;
        points[1].push((hosts, members));
        points[2].push((hosts, change_profile(&mut state)?));
        let raw = state.state.snapshot();
        points[3].push((hosts, raw.len() as f64));
        points[4].push((hosts, time_per(2, |_| drop(state.state.snapshot()))? / 1e6));
        let restore = time_per(2, |_| {
            // A snapshot of the same program is valid.
            let _ = State::default().restore(&raw);
        })?;
        points[5].push((hosts, restore / 1e6));
        let answer = time_per(2, |_| {
            if let Some(reply) = state.state.watch_reply(&whole()) {
                std::hint::black_box(encoded(&reply).is_ok());
            }
        })?;
        points[6].push((hosts, answer / 1e6));
    }
    for list in &mut points {
        list.dedup_by_key(|point| point.0);
    }
    let names = [
        ("memory of the state machine", "B"),
        ("processor time per membership event", "ns"),
        ("processor time per profile change", "ns"),
        ("snapshot bytes", "B"),
        ("processor time of a snapshot", "ms"),
        ("processor time of a restore", "ms"),
        ("processor time of one full resync answer", "ms"),
    ];
    let slopes = names.into_iter().zip(points);
    Ok(slopes
        .map(|((name, unit), points)| Slope::new("control", name, "host", unit, points))
        .collect())
}

fn change_member(filled: &mut Filled) -> Result<f64, MeasureError> {
    let id = filled
        .state
        .service(&fixture::service(0).name)
        .map(|entry| entry.id)
        .unwrap_or_default();
    time_per(1_000, |n| {
        let mut member = fixture::member(0);
        member.weight = units::Weight(1 + n as u16 % 100);
        let change = TableChange {
            service: id,
            put: vec![member],
            gone: Vec::new(),
        };
        filled.apply(Action::Members(vec![change]));
    })
}

fn change_profile(filled: &mut Filled) -> Result<f64, MeasureError> {
    time_per(200, |n| {
        let mut profile = fixture::profile(0);
        profile.warmup_ms = Millis(n as u64 % 2 + 1);
        let expected = filled
            .state
            .stored("profile", profile.name.as_str())
            .map(|s| s.version);
        filled.put(expected.unwrap_or_default(), Declaration::Profile(profile));
    })
}
