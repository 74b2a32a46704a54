//! Two connections over a seeded in-memory link that drops, reorders and duplicates packets.
//! Guards against bytes that are lost, duplicated or reordered.

use std::time::Duration;

use netstack::{Connection, FlowEnd, ReadState, StackSettings, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use units::Flow;

const TIME_LIMIT: Duration = Duration::from_secs(600);

fn flow() -> Flow {
    "10.0.0.1:4000>10.9.0.1:80".parse().expect("a flow")
}

struct Link {
    rng: StdRng,
    loss: f64,
    /// Probability that a packet is duplicated, and that a copy is delayed.
    disorder: f64,
    /// Arrival time, receiving side and packet.
    queue: Vec<(Instant, usize, Vec<u8>)>,
}

impl Link {
    fn send(&mut self, now: Instant, to: usize, packet: Vec<u8>) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.disorder));
        for _ in 0..copies {
            let max_delay_ms = if self.rng.random_bool(self.disorder) {
                20
            } else {
                3
            };
            let arrival = now + Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
            self.queue.push((arrival, to, packet.clone()));
        }
    }

    fn take_due(&mut self, now: Instant) -> Vec<(usize, Vec<u8>)> {
        let (due, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|(arrival, ..)| *arrival <= now);
        self.queue = rest;
        let mut due: Vec<(Instant, usize, Vec<u8>)> = due;
        due.sort_by_key(|(arrival, ..)| *arrival);
        due.into_iter()
            .map(|(_, to, packet)| (to, packet))
            .collect()
    }
}

/// One side of the connection, with the bytes that it sends and has received.
struct Side {
    connection: Connection,
    outgoing: Vec<u8>,
    sent: usize,
    incoming: Vec<u8>,
    finished: bool,
}

impl Side {
    fn new(connection: Connection, outgoing: Vec<u8>) -> Self {
        Self {
            connection,
            outgoing,
            sent: 0,
            incoming: Vec::new(),
            finished: false,
        }
    }

    fn transfer(&mut self, rng: &mut StdRng) {
        self.sent += self.connection.write(&self.outgoing[self.sent..]);
        if self.sent == self.outgoing.len() {
            self.connection.close();
        }
        let mut buf = vec![0; rng.random_range(1..4000)];
        match self.connection.read(&mut buf) {
            ReadState::Data(len) => self.incoming.extend_from_slice(&buf[..len]),
            ReadState::Finished => self.finished = true,
            ReadState::Empty | ReadState::Broken => {}
        }
    }
}

fn exchange(seed: u64, loss: f64, disorder: f64, sizes: [usize; 2]) -> [Side; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let settings = StackSettings {
        idle_timeout: TIME_LIMIT,
        handshake_timeout: TIME_LIMIT,
        ..StackSettings::default()
    };
    let mut random_bytes = |len: usize| (0..len).map(|_| rng.random()).collect::<Vec<u8>>();
    let mut sides = [
        Side::new(
            Connection::connect(&settings, flow(), start, seed),
            random_bytes(sizes[0]),
        ),
        Side::new(
            Connection::accept(&settings, flow(), start, seed + 1),
            random_bytes(sizes[1]),
        ),
    ];
    let mut link = Link {
        rng: StdRng::seed_from_u64(!seed),
        loss,
        disorder,
        queue: Vec::new(),
    };
    let mut now = start;
    while now < start + TIME_LIMIT {
        for (to, packet) in link.take_due(now) {
            sides[to].connection.receive(now, &packet);
        }
        for (index, side) in sides.iter_mut().enumerate() {
            side.transfer(&mut rng);
            let mut out = Vec::new();
            side.connection.poll(now, &mut out);
            for packet in out {
                link.send(now, 1 - index, packet);
            }
        }
        if sides
            .iter()
            .all(|s| matches!(s.connection.state(), State::Ended(_)))
        {
            break;
        }
        now += Duration::from_millis(1);
    }
    sides
}

fn check(seed: u64, loss: f64, disorder: f64, sizes: [usize; 2]) {
    let sides = exchange(seed, loss, disorder, sizes);
    for (index, side) in sides.iter().enumerate() {
        assert!(side.finished, "seed {seed} side {index}: no orderly end");
        assert!(
            side.incoming == sides[1 - index].outgoing,
            "seed {seed} side {index}: bytes differ"
        );
        assert_eq!(
            side.connection.state(),
            State::Ended(FlowEnd::Closed),
            "seed {seed} side {index}"
        );
    }
}

/// Guards against a stack that only works on a link without faults.
#[test]
fn delivers_in_order_over_a_lossy_link() {
    for seed in 0..12 {
        check(seed, 0.05, 0.1, [60_000, 90_000]);
    }
}

/// Guards against FIN before the end of the data, also in a direction without data.
#[test]
fn closes_in_order_without_faults() {
    for sizes in [[0, 0], [1, 0], [0, 1], [100_000, 10], [10, 100_000]] {
        check(1, 0.0, 0.0, sizes);
    }
}

/// Guards against predictable sequence numbers, which allow blind injection.
#[test]
fn initial_sequence_numbers_differ_by_seed() {
    let initial_seq = |seed| {
        let now = Instant::now();
        let mut caller = Connection::connect(&StackSettings::default(), flow(), now, seed);
        caller.poll(now, &mut Vec::new());
        caller.initial_seq().unwrap()
    };
    let mut seen: Vec<u32> = (0..100).map(initial_seq).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), 100);
    assert_eq!(initial_seq(7), initial_seq(7));
}
