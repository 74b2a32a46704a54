//! P3, P4 and P5: whole answers, not run when told so, at most one run.

use std::sync::Arc;
use std::time::Duration;

use e2e::traffic::Requests;
use e2e::{Cluster, Shape, WEB, turn};
use faults::Plan;
use load::backend::{Straggle, unix_ms};
use load::caller::{Ask, HttpFlow, Outcome};
use load::ledger::{Ledger, judge};
use tokio::task::JoinSet;

fn page(number: usize, turn: usize) -> Ask {
    Ask {
        size: 6_000,
        ..Ask::get(format!("p{number}-{turn}"), "/shop")
    }
}

fn order(number: usize, turn: usize) -> Ask {
    Ask::post(format!("o{number}-{turn}"), "/orders", vec![3; 300])
}

fn mixed(number: usize, turn: usize) -> Ask {
    if turn.is_multiple_of(2) {
        page(number, turn)
    } else {
        order(number, turn)
    }
}

/// Guards against truncated, mixed up or invented answers (P3) while backend servers break off
/// answers, agents are killed and links lose and reorder packets.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_or_visibly_broken() {
    let _turn = turn().await;
    let bad = Plan {
        loss: 0.005,
        reorder: 0.02,
        duplicate: 0.02,
        ..Plan::default()
    };
    let shape = Shape {
        web: 3,
        packets: bad,
        answers: bad,
        seed: 21,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let requests = Requests::start(&cluster.caller(1), 40, Duration::from_millis(20), mixed);
    for _ in 0..5 {
        cluster.pause(500).await;
        for backend in cluster.backends.values() {
            backend.set(|behaviour| behaviour.die = 3);
        }
    }
    cluster.agents[0].process.kill();
    cluster.pause(1_500).await;
    let (ledger, _) = requests.stop().await;
    let verdict = judge(&ledger.lines(), &cluster.entries());
    assert!(verdict.is_clean(), "{verdict:?}");
    let count = |outcome| verdict.counts.get(&outcome).copied().unwrap_or(0);
    assert!(count(Outcome::Complete) > 200, "{verdict:?}");
    // The faults were there: answers broke off, which callers saw.
    let seen = count(Outcome::Truncated) + count(Outcome::Unknown) + count(Outcome::Broken);
    assert!(seen > 0, "{verdict:?}");
}

/// Guards against boards whose lines get lost or mixed up over a balancer's crash (P3).
#[tokio::test(flavor = "multi_thread")]
async fn boards_stay_in_order() {
    let _turn = turn().await;
    let mut cluster = Cluster::start(Shape {
        web: 2,
        ..Shape::default()
    })
    .await;
    let caller = cluster.caller(1);
    let boards: JoinSet<_> = (0..30)
        .map(|_| {
            let caller = caller.clone();
            async move {
                let mut flow = HttpFlow::open(&caller, WEB).await.unwrap();
                flow.board(150, Duration::from_secs(30)).await
            }
        })
        .collect();
    cluster.pause(1_000).await;
    cluster.balancers[0].process.kill();
    cluster.pause(500).await;
    cluster.use_balancers(|index| index > 0);
    let boards = boards.join_all().await;
    assert!(
        boards
            .iter()
            .all(|board| *board == (150, Outcome::Complete)),
        "{boards:?}"
    );
}

/// Guards against requests that run although their callers were told that they did not (P4):
/// overload with refusals, shedding backend servers, a drain and a crash at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true_under_overload() {
    let _turn = turn().await;
    let shape = Shape {
        web: 2,
        service_ms: 40,
        seed: 31,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    for backend in cluster.backends.values() {
        backend.set(|behaviour| {
            behaviour.straggle = Straggle {
                share: 0.02,
                factor: 20.0,
            };
            behaviour.shed = 0.02;
        });
    }
    let next = |number, turn| Ask {
        deadline_ms: Some(300),
        ..mixed(number, turn)
    };
    let requests = Requests::start(&cluster.caller(1), 120, Duration::from_millis(20), next);
    cluster.pause(2_500).await;
    let host = cluster.agents[0].host.clone();
    cluster.operator.announce("backend-server", &host).await;
    cluster.pause(1_500).await;
    let host = cluster.agents[1].host.clone();
    let backend = cluster.backends.get_mut(&host).unwrap();
    backend.crash();
    cluster.pause(1_000).await;
    cluster
        .backends
        .get_mut(&host)
        .unwrap()
        .restart()
        .await
        .unwrap();
    cluster.pause(1_500).await;
    let (ledger, _) = requests.stop().await;
    let verdict = judge(&ledger.lines(), &cluster.entries());
    assert!(verdict.is_clean(), "{verdict:?}");
    let count = |outcome| verdict.counts.get(&outcome).copied().unwrap_or(0);
    assert!(
        count(Outcome::NotRun) > 100 && count(Outcome::Complete) > 100,
        "{verdict:?}"
    );
}

/// One keyed order, sent again over new connections until its outcome is final.
async fn insist(caller: load::caller::Caller, ask: Ask, ledger: Arc<Ledger>) -> Outcome {
    let mut outcome = Outcome::Broken;
    for _ in 0..12 {
        let Ok(mut flow) = HttpFlow::open(&caller, WEB).await else {
            continue;
        };
        outcome = flow.ask(&ask).await.0;
        ledger.add(&ask, outcome);
        if outcome == Outcome::Complete {
            // Once more: the answer may have been lost on its way to the caller.
            let (again, _) = flow.ask(&ask).await;
            ledger.add(&ask, again);
            break;
        }
        tokio::time::sleep(Duration::from_millis(120)).await;
    }
    outcome
}

/// Guards against a keyed request that begins twice (P5): resends through other balancers and
/// agents, while agents are restarted and killed and answers break off.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_begin_at_most_once() {
    let _turn = turn().await;
    let bad = Plan {
        loss: 0.005,
        duplicate: 0.02,
        ..Plan::default()
    };
    let shape = Shape {
        web: 4,
        service_ms: 20,
        packets: bad,
        seed: 41,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let ledger = Arc::new(Ledger::default());
    let caller = cluster.caller(1);
    let mut tasks = JoinSet::new();
    for round in 0..4 {
        for number in 0..40 {
            let id = format!("k{round}-{number}");
            let key = Some(format!("{}-{id}", unix_ms()));
            let ask = Ask {
                key,
                limit: Duration::from_secs(3),
                ..Ask::post(id, "/orders", vec![5; 200])
            };
            tasks.spawn(insist(caller.clone(), ask, Arc::clone(&ledger)));
        }
        cluster.pause(300).await;
        for backend in cluster.backends.values() {
            backend.set(|behaviour| behaviour.die = 2);
        }
        match round {
            1 => cluster.agents[0].process.kill(),
            2 => {
                let (host, port) = (cluster.agents[0].host.clone(), ports::free());
                cluster.start_agent("web", &host, port).await;
            }
            3 => cluster.agents[1].process.kill(),
            _ => {}
        }
        cluster.pause(700).await;
    }
    let outcomes = tasks.join_all().await;
    let verdict = judge(&ledger.lines(), &cluster.entries());
    assert!(verdict.is_clean(), "{verdict:?}");
    let complete = outcomes.iter().filter(|o| **o == Outcome::Complete).count();
    assert!(
        complete > 80,
        "only {complete} of {} complete: {verdict:?}",
        outcomes.len()
    );
}
