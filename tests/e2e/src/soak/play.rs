//! Plays a round and checks it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use faults::Plan;
use load::backend::unix_ms;
use load::caller::{Ask, EchoReport};
use load::ledger::judge;
use nix::sys::signal::Signal;
use profile::Declaration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use trace::{Line, Search};

use super::schedule::{Fault, schedule};
use crate::traffic::{Requests, echo_flows, finish};
use crate::{Cluster, LIMIT, Operator, Shape, eventually};

/// Established flows of the TCP service.
const FLOWS: usize = 60;

/// Connections of the HTTP service.
const CONNECTIONS: usize = 20;

/// Time after which a leaving backend server gets no new work, in ms.
const LEAVE_MS: u64 = 3_000;

/// Time after the last fault until the checks.
const SETTLE: Duration = Duration::from_secs(4);

/// Indexes of the agents with a part of their own; the first ones are those of the HTTP service.
const KILLED: usize = 0;
const LEAVING: usize = 1;
const REPLACED: usize = 3;

/// What a round showed.
#[derive(Debug)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Faults that began.
    pub faults: usize,
    /// Attempts of requests by outcome.
    pub requests: String,
    /// Broken promises, with the lines of the logs where they concern a flow.
    pub broken: Vec<String>,
}

/// A change of a profile: the value that it sets, and whether it was acknowledged.
type Change = JoinHandle<(u64, bool)>;

struct Round {
    cluster: Cluster,
    /// Balancers that the fabric doesn't use.
    unused: BTreeSet<usize>,
    /// Processes that were ended on purpose: kind and index.
    ended: BTreeSet<(&'static str, usize)>,
    /// Agent that is replaced next, and the one whose successor runs already.
    replaced: (usize, Option<usize>),
    /// Values that operators tried to set, in order; the last one acknowledged.
    tried: Vec<u64>,
    acknowledged: Option<u64>,
    change: Option<Change>,
    /// Time of the acknowledgement of the drain.
    drain: Option<JoinHandle<Option<u64>>>,
    /// Time until which the leaving agent may not know of its drain, in Unix ms.
    unknown_until: u64,
    broken: Vec<String>,
}

/// Plays the round of a seed.
///
/// # Panics
/// When the deployment does not start.
pub async fn play(seed: u64) -> Report {
    let shape = Shape {
        web: 3,
        echo: 2,
        service_ms: 10,
        seed,
        ..Shape::default()
    };
    let mut round = Round {
        cluster: Cluster::start(shape).await,
        unused: BTreeSet::new(),
        ended: BTreeSet::new(),
        replaced: (REPLACED, None),
        tried: Vec::new(),
        acknowledged: None,
        change: None,
        drain: None,
        unknown_until: 0,
        broken: Vec::new(),
    };
    let flows = echo_flows(&round.cluster.caller(1), FLOWS).await;
    let pause = Duration::from_millis(30);
    let requests = Requests::start(&round.cluster.caller(2), CONNECTIONS, pause, ask);
    let stop = Arc::new(AtomicBool::new(false));
    let versions = tokio::spawn(watch(round.cluster.operator.clone(), Arc::clone(&stop)));
    let begin = Instant::now();
    let steps = schedule(seed);
    for step in &steps {
        tokio::time::sleep_until(begin + Duration::from_millis(step.at_ms)).await;
        if step.begins {
            round.begin(step.fault).await;
        } else {
            round.end(step.fault).await;
        }
    }
    tokio::time::sleep(SETTLE).await;
    round.check_processes();
    stop.store(true, Ordering::Relaxed);
    match versions.await {
        Ok(None) => {}
        Ok(Some(text)) => round.broken.push(text),
        Err(error) => round
            .broken
            .push(format!("the check of versions ended: {error}")),
    }
    round.check_configuration().await;
    let (ledger, _) = requests.stop().await;
    let reports = finish(flows).await;
    for report in reports {
        round.check_flow(report);
    }
    let verdict = judge(&ledger.lines(), &round.cluster.entries());
    if !verdict.is_clean() {
        round.broken.push(format!("requests: {verdict:?}"));
    }
    round.check_drain().await;
    Report {
        seed,
        faults: steps.len() / 2,
        requests: format!("{:?}", verdict.counts),
        broken: round.broken,
    }
}

/// Requests that may be repeated, that may not, and that carry a key.
fn ask(number: usize, turn: usize) -> Ask {
    match turn % 3 {
        0 => Ask {
            size: 4_000,
            ..Ask::get(format!("p{number}-{turn}"), "/shop")
        },
        1 => Ask::post(format!("o{number}-{turn}"), "/orders", vec![3; 300]),
        _ => {
            let id = format!("k{number}-{turn}");
            Ask {
                key: Some(format!("{}-{id}", unix_ms())),
                ..Ask::post(id, "/orders", vec![5; 200])
            }
        }
    }
}

/// Reads the profile until it is stopped; tells if its version went back.
async fn watch(operator: Operator, stop: Arc<AtomicBool>) -> Option<String> {
    let mut newest = None;
    while !stop.load(Ordering::Relaxed) {
        let stored = operator.stored("profile", "web").await;
        if let Some(stored) = stored {
            if newest.is_some_and(|newest| stored.version < newest) {
                return Some(format!("version {} after {newest:?}", stored.version));
            }
            newest = Some(stored.version);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    None
}

impl Round {
    async fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::BalancerKilled(index) if self.may_end(index) => {
                self.ended.insert(("balancer", index));
                self.cluster.balancers[index].process.kill();
                // The fabric goes on spraying for a while.
                self.cluster.pause(300).await;
                self.leave_out(index);
            }
            Fault::BalancerStopped(index) if self.may_end(index) => {
                self.ended.insert(("balancer", index));
                self.leave_out(index);
                let process = &self.cluster.balancers[index].process;
                process.signal(Signal::SIGTERM);
            }
            Fault::BalancerFrozen(index) => {
                let process = &self.cluster.balancers[index].process;
                process.signal(Signal::SIGSTOP);
            }
            Fault::ControlKilled(index) => self.control(index).kill(),
            Fault::ControlFrozen(index) => self.control(index).signal(Signal::SIGSTOP),
            Fault::ControlCut(index) => self.cluster.isolate(index as u64 + 1, true),
            Fault::BalancerLinks(index, plan) => {
                set(&self.cluster.balancers[index].control, plan);
            }
            Fault::AgentLinks(index, plan) => set(&self.cluster.agents[index].control, plan),
            Fault::Packets(plan) => self.cluster.set_packets(plan),
            Fault::AgentFrozen(index) => {
                let process = &self.cluster.agents[index].process;
                process.signal(Signal::SIGSTOP);
            }
            Fault::AgentKilled => {
                self.ended.insert(("agent", KILLED));
                self.cluster.agents[KILLED].process.kill();
            }
            Fault::AgentReplaced if self.replaced.1.is_none() => {
                let host = self.cluster.agents[self.replaced.0].host.clone();
                let next = self.cluster.start_agent("echo", &host, ports::free());
                let old = self.replaced.0;
                self.replaced = (next.await, Some(old));
                self.ended.insert(("agent", old));
            }
            Fault::Drain => {
                let operator = self.cluster.operator.clone();
                let host = self.cluster.agents[LEAVING].host.clone();
                self.drain = Some(tokio::spawn(async move {
                    let args = ["announce", "backend-server", &host];
                    let times = ["--start", "now", "--end", "+10m"];
                    let done = operator.run(&[&args[..], &times].concat()).await;
                    (done.code == 0).then(unix_ms)
                }));
            }
            Fault::Join => {
                self.cluster.add_agent("web").await;
            }
            Fault::Change => self.change().await,
            _ => {}
        }
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::BalancerKilled(_) => self.add_balancer().await,
            Fault::BalancerStopped(index) => {
                let process = &mut self.cluster.balancers[index].process;
                process.signal(Signal::SIGCONT);
                process.signal(Signal::SIGTERM);
                self.add_balancer().await;
            }
            Fault::BalancerFrozen(index) => {
                let process = &self.cluster.balancers[index].process;
                process.signal(Signal::SIGCONT);
            }
            Fault::ControlKilled(index) => {
                if !self.control(index).is_running() {
                    self.cluster.launch_control(index as u64 + 1);
                }
                self.note_unknown();
            }
            Fault::ControlFrozen(index) => {
                self.control(index).signal(Signal::SIGCONT);
                self.note_unknown();
            }
            Fault::ControlCut(index) => {
                self.cluster.isolate(index as u64 + 1, false);
                self.note_unknown();
            }
            Fault::BalancerLinks(index, _) => {
                set(&self.cluster.balancers[index].control, Plan::default());
            }
            Fault::AgentLinks(index, _) => {
                set(&self.cluster.agents[index].control, Plan::default());
                self.note_unknown();
            }
            Fault::Packets(_) => self.cluster.set_packets(Plan::default()),
            Fault::AgentFrozen(index) => {
                let process = &self.cluster.agents[index].process;
                process.signal(Signal::SIGCONT);
                self.note_unknown();
            }
            Fault::AgentReplaced => {
                // Once: a second request to stop ends what it still holds.
                if let Some(old) = self.replaced.1.take() {
                    self.cluster.agents[old].process.signal(Signal::SIGTERM);
                }
            }
            _ => {}
        }
    }

    fn control(&mut self, index: usize) -> &mut crate::Process {
        let node = self.cluster.controls.get_mut(&(index as u64 + 1));
        &mut node.expect("three replicas").process
    }

    /// A leaving agent learns of its drain only now, if that was announced before.
    fn note_unknown(&mut self) {
        self.unknown_until = unix_ms();
    }

    /// Whether a balancer may be ended: another one has to be left.
    fn may_end(&self, index: usize) -> bool {
        let used = self.cluster.balancers.len() - self.unused.len();
        !self.unused.contains(&index) && used > 1
    }

    fn leave_out(&mut self, index: usize) {
        self.unused.insert(index);
        self.use_balancers();
    }

    fn use_balancers(&self) {
        self.cluster
            .use_balancers(|index| !self.unused.contains(&index));
    }

    async fn add_balancer(&mut self) {
        self.cluster.add_balancer().await;
        self.use_balancers();
    }

    /// Changes a profile, unless the last change has no answer yet.
    async fn change(&mut self) {
        if self.change.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        self.take_change().await;
        let value = 16 + self.tried.len() as u64;
        self.tried.push(value);
        self.cluster
            .write_declarations(|web| web["concurrency"]["queue"] = value.into());
        let folder = self.cluster.path().join(format!("change-{value}"));
        std::fs::create_dir_all(&folder).expect("a writable folder");
        let file = self.cluster.declarations().join("all.jsonc");
        std::fs::copy(file, folder.join("all.jsonc")).expect("a writable folder");
        let operator = self.cluster.operator.clone();
        self.change = Some(tokio::spawn(async move {
            let folder = folder.display().to_string();
            let done = operator.run(&["apply", &folder, "--wait", "1"]).await;
            // 4: accepted, and not in force everywhere yet.
            (value, matches!(done.code, 0 | 4))
        }));
    }

    async fn take_change(&mut self) {
        if let Some(task) = self.change.take()
            && let Ok((value, true)) = task.await
        {
            self.acknowledged = Some(value);
        }
    }

    /// Every process runs that was not ended on purpose, and none panicked.
    fn check_processes(&mut self) {
        let controls = self.cluster.controls.iter_mut();
        let controls = controls.map(|(id, node)| (("control", *id as usize), &mut node.process));
        let balancers = self.cluster.balancers.iter_mut().enumerate();
        let balancers = balancers.map(|(at, node)| (("balancer", at), &mut node.process));
        let agents = self.cluster.agents.iter_mut().enumerate();
        let agents = agents.map(|(at, node)| (("agent", at), &mut node.process));
        for (name, process) in controls.chain(balancers).chain(agents) {
            if !self.ended.contains(&name) && !process.is_running() {
                self.broken.push(format!("{name:?} ended by itself"));
            }
            if process.log().contains("panicked") {
                self.broken.push(format!("{name:?} panicked"));
            }
        }
    }

    /// The last change acknowledged, or a later one, holds and comes in force.
    async fn check_configuration(&mut self) {
        self.take_change().await;
        let operator = self.cluster.operator.clone();
        eventually("control answers", LIMIT, async || {
            operator.stored("profile", "web").await.is_some()
        })
        .await;
        let stored = operator.stored("profile", "web").await;
        let queue = match stored.map(|stored| stored.body) {
            Some(Declaration::Profile(web)) => u64::from(web.concurrency.queue),
            other => return self.broken.push(format!("the profile is gone: {other:?}")),
        };
        if self.acknowledged.is_some_and(|value| queue < value) {
            let text = format!("{queue} holds, {:?} was acknowledged", self.acknowledged);
            self.broken.push(text);
        }
        self.cluster.in_force().await;
    }

    fn check_flow(&mut self, report: Option<EchoReport>) {
        let Some(report) = report else {
            return self.broken.push("a flow did not end".into());
        };
        if !report.is_kept() {
            let lines = self.trace(&report.flow.to_string());
            self.broken.push(format!("flow: {report:?}\n{lines}"));
        }
    }

    /// No new work at the leaving backend server once its agent could know for long enough.
    async fn check_drain(&mut self) {
        let Some(task) = self.drain.take() else {
            return;
        };
        let Ok(Some(acknowledged)) = task.await else {
            return;
        };
        let limit = acknowledged.max(self.unknown_until) + LEAVE_MS;
        let host = self.cluster.agents[LEAVING].host.clone();
        let entries = self.cluster.backends[&host].record().entries();
        let late: Vec<_> = entries.iter().filter(|entry| entry.begun > limit).collect();
        if let Some(entry) = late.first() {
            let after = entry.begun - acknowledged;
            let text = format!("{} requests at {host} after its drain", late.len());
            self.broken.push(format!("{text}, {after} ms: {entry:?}"));
        }
    }

    /// What the logs say about an id.
    fn trace(&self, id: &str) -> String {
        let files = std::fs::read_dir(self.cluster.path()).into_iter().flatten();
        let logs = files.flatten().map(|file| file.path());
        let logs = logs.filter(|path| path.extension().is_some_and(|end| end == "log"));
        let texts: Vec<_> = logs.flat_map(std::fs::read_to_string).collect();
        let lines = texts.iter().flat_map(|text| text.lines());
        let lines: Vec<_> = lines.filter_map(Line::parse).collect();
        let search = Search {
            id: id.into(),
            around_us: 500_000,
        };
        let found = search.run(&lines).found.into_iter();
        let text = |line: Line| {
            format!(
                "  {} {} {} {:?}",
                line.time_us, line.node, line.msg, line.fields
            )
        };
        found
            .map(|found| text(found.line))
            .collect::<Vec<_>>()
            .join("\n")
    }
}

fn set(links: &[faults::TcpProxy], plan: Plan) {
    for link in links {
        link.set(plan).expect("a valid plan");
    }
}
