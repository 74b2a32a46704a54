//! Several balancers and agents with backend servers and callers, over a network that loses
//! packets, while processes start anew.

mod caller;
mod host;
mod world;

use world::{Fault, Pace, World};

/// Runs of each kind, each with its own seed.
const SEEDS: u64 = 40;

fn play(loss: f64, faults: &[(u64, Fault)]) {
    play_at(Pace::Usual, loss, faults);
}

fn play_at(pace: Pace, loss: f64, faults: &[(u64, Fault)]) {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, loss, pace);
        world.run(faults);
        world.check(seed);
    }
}

/// Guards against flows that end, wait or visit strangers although nothing failed.
#[test]
fn calm_days_serve_every_flow() {
    play(0.0, &[]);
}

/// Guards against flows that depend on a packet or a notice that got lost.
#[test]
fn lost_packets_delay_only() {
    play(0.05, &[]);
}

/// Guards against flows that end because balancers forget what they knew.
#[test]
fn balancers_start_anew() {
    let restarts = [400, 900, 1_400, 1_900].map(|at| (at, Fault::Balancer(at as usize / 500)));
    play(0.02, &restarts);
}

/// Guards against flows that end because agents forget what they knew, one after the other or all
/// at once.
#[test]
fn agents_start_anew() {
    let one = [300, 800, 1_300, 1_800, 2_300];
    play(0.02, &one.map(|at| (at, Fault::Agent(at as usize / 500))));
    let all = [0, 1, 2, 3, 4].map(|n| (1_000, Fault::Agent(n)));
    play(0.02, &all);
}

/// Guards against flows of live backend servers that end because others crashed, and against
/// callers of the crashed ones that never hear of it.
#[test]
fn backend_servers_start_anew() {
    let one = [300, 1_300, 2_300].map(|at| (at, Fault::Host(at as usize / 500)));
    play(0.02, &one);
    let all = [0, 1, 2, 3, 4].map(|n| (1_000, Fault::Host(n)));
    play(0.02, &all);
}

/// Guards against flows of a backend server that leaves: it keeps them and gets no new ones.
#[test]
fn backend_servers_leave() {
    play(0.02, &[(500, Fault::Drain(0)), (1_500, Fault::Drain(3))]);
}

/// Guards against faults that only together end a flow.
#[test]
fn everything_at_once() {
    let faults = [
        (400, Fault::Balancer(0)),
        (500, Fault::Agent(1)),
        (600, Fault::Drain(0)),
        (700, Fault::Host(2)),
        (710, Fault::Agent(2)),
        (1_200, Fault::Agent(3)),
        (1_210, Fault::Host(3)),
        (1_500, Fault::Balancer(1)),
        (1_600, Fault::Agent(0)),
    ];
    play(0.05, &faults);
}

/// Guards against callers that are neither served nor told under overload, and against a refusal of
/// a request that runs.
#[test]
fn a_rush_is_served_or_told() {
    play_at(Pace::Rush, 0.0, &[]);
    play_at(
        Pace::Rush,
        0.03,
        &[(300, Fault::Drain(0)), (400, Fault::Balancer(1))],
    );
    play_at(
        Pace::Rush,
        0.03,
        &[(100, Fault::Agent(1)), (300, Fault::Host(2))],
    );
}
