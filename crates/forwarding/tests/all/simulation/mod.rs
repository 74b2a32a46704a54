//! Simulation of several balancers, agents, backend servers and callers, with packet loss and
//! process restarts.

mod backend_server;
mod caller;
mod network;

use network::{ArrivalInterval, Fault, Simulation};

/// Number of seeds with which each scenario runs.
const SEEDS: u64 = 40;

fn run_seeds(loss: f64, faults: &[(u64, Fault)]) {
    run_seeds_at(ArrivalInterval::Normal, loss, faults);
}

fn run_seeds_at(interval: ArrivalInterval, loss: f64, faults: &[(u64, Fault)]) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, loss, interval);
        simulation.run(faults);
        simulation.assert_outcomes(seed);
    }
}

/// Guards against flows that are reset, are delayed or reach other backend servers without any
/// fault.
#[test]
fn all_flows_are_served_without_faults() {
    run_seeds(0.0, &[]);
}

/// Guards against flows that fail because of a lost packet or notice.
#[test]
fn packet_loss_only_delays_requests() {
    run_seeds(0.05, &[]);
}

/// Guards against flows that end because balancers lose their state.
#[test]
fn balancers_restart() {
    let restarts = [400, 900, 1_400, 1_900].map(|at| (at, Fault::Balancer(at as usize / 500)));
    run_seeds(0.02, &restarts);
}

/// Guards against flows that end because agents lose their state, one after the other or all at the
/// same time.
#[test]
fn agents_restart() {
    let one = [300, 800, 1_300, 1_800, 2_300];
    run_seeds(0.02, &one.map(|at| (at, Fault::Agent(at as usize / 500))));
    let all = [0, 1, 2, 3, 4].map(|n| (1_000, Fault::Agent(n)));
    run_seeds(0.02, &all);
}

/// Guards against flows of running backend servers that end because others crashed, and against
/// callers of the crashed ones that get no reset.
#[test]
fn backend_servers_restart() {
    let one = [300, 1_300, 2_300].map(|at| (at, Fault::Backend(at as usize / 500)));
    run_seeds(0.02, &one);
    let all = [0, 1, 2, 3, 4].map(|n| (1_000, Fault::Backend(n)));
    run_seeds(0.02, &all);
}

/// Guards against lost flows of a draining backend server: it keeps its flows and gets no new ones.
#[test]
fn backend_servers_drain() {
    run_seeds(0.02, &[(500, Fault::Drain(0)), (1_500, Fault::Drain(3))]);
}

/// Guards against flows that end only if several faults coincide.
#[test]
fn combined_faults() {
    let faults = [
        (400, Fault::Balancer(0)),
        (500, Fault::Agent(1)),
        (600, Fault::Drain(0)),
        (700, Fault::Backend(2)),
        (710, Fault::Agent(2)),
        (1_200, Fault::Agent(3)),
        (1_210, Fault::Backend(3)),
        (1_500, Fault::Balancer(1)),
        (1_600, Fault::Agent(0)),
    ];
    run_seeds(0.05, &faults);
}

/// Guards against callers that get neither a response nor a reset under overload, and against the
/// refusal of a flow that a copy of its SYN opened: copies enter at several balancers, notices get lost,
/// and agents restart or drain.
#[test]
fn overload_is_served_or_refused() {
    run_seeds_at(ArrivalInterval::Overload, 0.0, &[]);
    run_seeds_at(
        ArrivalInterval::Overload,
        0.03,
        &[(300, Fault::Drain(0)), (400, Fault::Balancer(1))],
    );
    run_seeds_at(
        ArrivalInterval::Overload,
        0.03,
        &[(100, Fault::Agent(1)), (300, Fault::Backend(2))],
    );
}
