//! `load demo`: callers in action while `scripts/demo.sh` changes the system.
//!
//! Lines of standard input: `balancers A B` replaces the balancers of the
//! fabric, `drain HOST RECORD` says that a planned change of a backend server
//! was announced just now, `end` ends the run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::task::JoinSet;

use super::bounded;
use super::fabric::parse;
use crate::backend::{Entry, fetch, unix_ms};
use crate::caller::{Ask, Caller, EchoFlow, HttpFlow, Outcome};
use crate::error::LoadError;
use crate::fabric::{Fabric, FabricSettings};
use crate::ledger::{Ledger, judge};

/// Usual number of echo flows.
const FLOWS: usize = 200;

/// Usual number of connections for requests.
const CONNECTIONS: usize = 60;

/// Usual longest run in seconds.
const SECONDS: u64 = 40;

/// Time after an announcement from which a leaving backend server gets no new work (P6).
const LEAVE_MS: u64 = 3_000;

/// Pause between the requests of a connection.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest wait until all flows are established.
const READY: Duration = Duration::from_secs(15);

struct Drained {
    host: Box<str>,
    record: SocketAddr,
    at: u64,
}

struct Requests {
    ledger: Arc<Ledger>,
    /// Connections that ended before they were asked to.
    broken: Arc<AtomicU64>,
    /// Refusals by their text.
    reasons: Arc<Mutex<BTreeMap<String, u64>>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

pub(super) async fn run(flags: crate::cli::Demo) -> Result<ExitCode, LoadError> {
    let fabric = Fabric::start(FabricSettings {
        listen: flags.fabric,
        balancers: flags
            .balancer
            .iter()
            .map(|address| (*address).into())
            .collect(),
        ..FabricSettings::default()
    })
    .map_err(LoadError::io("listen"))?;
    let caller = Caller::new(fabric.clone(), 201, 1);
    let mut flows = Vec::new();
    for _ in 0..flags.flows.unwrap_or(FLOWS) {
        flows.push(EchoFlow::start(
            &caller,
            flags.tcp,
            Duration::from_millis(50),
        ));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut unready = 0;
    let deadline = tokio::time::Instant::now() + READY;
    for flow in &mut flows {
        let left = deadline.saturating_duration_since(tokio::time::Instant::now());
        unready += usize::from(!flow.established(left).await);
    }
    let connections = flags.connections.unwrap_or(CONNECTIONS);
    let mut requests = start_requests(&caller, flags.http, connections);
    println!("callers: {} flows, {unready} not established", flows.len());
    println!("callers: ready");
    let mut drained = Vec::new();
    let seconds = flags.seconds.unwrap_or(SECONDS);
    let ended = bounded(Some(seconds), commands(&fabric, &mut drained)).await;
    requests.stop.store(true, Ordering::Relaxed);
    while requests.tasks.join_next().await.is_some() {}
    let lost = finish(flows).await;
    let clean = report(&flags.record, &requests, &drained).await?;
    let stats = fabric.stats();
    println!(
        "packets: {} to balancers, {} to callers, {} stray, {} dropped",
        stats.forth, stats.back, stats.stray, stats.dropped
    );
    if ended.is_none() {
        println!("run: no end within {seconds} s");
    }
    if ended.is_some() && unready == 0 && lost == 0 && clean {
        println!("callers: ok");
        Ok(ExitCode::SUCCESS)
    } else {
        println!("callers: failed");
        Ok(ExitCode::FAILURE)
    }
}

async fn commands(fabric: &Fabric, drained: &mut Vec<Drained>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
        match word {
            "end" => return,
            "balancers" => match parse(rest) {
                Ok(list) => fabric.set_balancers(list),
                Err(e) => println!("line ignored: {line}: {e}"),
            },
            "drain" => match rest.split_once(' ').map(|(host, at)| (host, at.parse())) {
                Some((host, Ok(record))) => drained.push(Drained {
                    host: host.into(),
                    record,
                    at: unix_ms(),
                }),
                _ => println!("line ignored: {line}"),
            },
            _ => println!("line ignored: {line}"),
        }
    }
}

fn start_requests(caller: &Caller, service: std::net::SocketAddrV4, count: usize) -> Requests {
    let mut requests = Requests {
        ledger: Arc::default(),
        broken: Arc::default(),
        reasons: Arc::default(),
        stop: Arc::default(),
        tasks: JoinSet::new(),
    };
    for number in 0..count {
        let (caller, ledger) = (caller.clone(), Arc::clone(&requests.ledger));
        let (broken, stop) = (Arc::clone(&requests.broken), Arc::clone(&requests.stop));
        let reasons = Arc::clone(&requests.reasons);
        requests.tasks.spawn(async move {
            let mut flow = HttpFlow::open(&caller, service).await;
            let mut turn = 0;
            while !stop.load(Ordering::Relaxed) {
                let Ok(open) = &mut flow else { break };
                let ask = next_ask(number, turn);
                let (outcome, _) = open.ask(&ask).await;
                ledger.add(&ask, outcome);
                turn += 1;
                if !matches!(outcome, Outcome::Complete | Outcome::Broken | Outcome::Late) {
                    let mut reasons = reasons.lock().unwrap_or_else(PoisonError::into_inner);
                    *reasons.entry(open.reason().to_owned()).or_default() += 1;
                }
                if !open.is_open() || matches!(outcome, Outcome::Broken | Outcome::Late) {
                    broken.fetch_add(1, Ordering::Relaxed);
                    flow = HttpFlow::open(&caller, service).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
            if let Ok(open) = flow {
                open.close(Duration::from_secs(5)).await;
            }
        });
    }
    requests
}

/// Mostly short requests, some orders with a key, now and then a long one.
fn next_ask(number: usize, turn: usize) -> Ask {
    let id = format!("c{number}-{turn}");
    match turn % 10 {
        3 | 7 => Ask {
            key: Some(format!("{}-{id}", unix_ms())),
            ..Ask::post(id, "/orders", vec![1; 200])
        },
        9 if number.is_multiple_of(20) => Ask {
            size: 20_000,
            service_ms: Some(200),
            ..Ask::get(id, "/reports")
        },
        _ => Ask {
            size: 1_000,
            ..Ask::get(id, "/shop")
        },
    }
}

/// Ends the echo flows; returns how many were not kept.
async fn finish(flows: Vec<EchoFlow>) -> usize {
    let mut tasks = JoinSet::new();
    for flow in flows {
        tasks.spawn(flow.finish());
    }
    let (mut kept, mut lost, mut bytes) = (0, 0, 0);
    for report in tasks.join_all().await {
        match report {
            Some(report) if report.is_kept() => {
                kept += 1;
                bytes += report.received;
            }
            other => {
                lost += 1;
                println!("flow broken: {other:?}");
            }
        }
    }
    println!("flows: {kept} kept, {lost} broken, {bytes} bytes in order");
    lost
}

async fn report(
    records: &[SocketAddr],
    requests: &Requests,
    drained: &[Drained],
) -> Result<bool, LoadError> {
    let mut entries: Vec<Entry> = Vec::new();
    for record in records {
        entries.extend(fetch::<Vec<Entry>>(*record, "/_record").await?);
    }
    let verdict = judge(&requests.ledger.lines(), &entries);
    let broken = requests.broken.load(Ordering::Relaxed);
    println!("requests: {:?}", verdict.counts);
    print_reasons(&requests.reasons);
    println!(
        "requests: {} wrong, {} run though refused, {} repeated, {} answered but not begun",
        verdict.wrong.len(),
        verdict.ran.len(),
        verdict.repeated.len(),
        verdict.invented.len()
    );
    println!("connections for requests: {broken} broken");
    let mut late = 0;
    for gone in drained {
        let entries: Vec<Entry> = fetch(gone.record, "/_record").await?;
        let newest = entries.iter().map(|entry| entry.begun).max().unwrap_or(0);
        let after = newest.saturating_sub(gone.at);
        println!(
            "drain of {}: newest work {after} ms after the announcement",
            gone.host
        );
        late += usize::from(after > LEAVE_MS);
    }
    let complete = verdict.counts.get(&Outcome::Complete).copied().unwrap_or(0);
    Ok(verdict.is_clean() && broken == 0 && late == 0 && complete > 0)
}

fn print_reasons(reasons: &Mutex<BTreeMap<String, u64>>) {
    let reasons = reasons.lock().unwrap_or_else(PoisonError::into_inner);
    for (reason, count) in reasons.iter() {
        println!("refused {count} times: {reason}");
    }
}
