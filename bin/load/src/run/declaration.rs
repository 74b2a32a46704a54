//! Declarations of experiments.

use std::net::SocketAddrV4;
use std::path::Path;

use jsonc::{Document, JsoncError};
use serde::{Deserialize, Serialize};

/// Longest experiment in seconds.
const MAX_SECONDS: u64 = 300;

/// Most requests of an experiment.
const MAX_REQUESTS: f64 = 1_000_000.0;

/// Most hosts of a service on one machine.
const MAX_HOSTS: usize = 32;

/// Content of a file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiments {
    /// Experiments.
    pub experiments: Vec<Experiment>,
}

/// Time in which more requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub to: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// Share of one kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name in results.
    pub name: Box<str>,
    /// Method.
    pub method: Box<str>,
    /// Path.
    pub path: Box<str>,
    /// Relative share of arrivals.
    pub share: f64,
    /// Service time in ms.
    pub service_ms: u64,
    /// Bytes of answer.
    #[serde(default)]
    pub size: usize,
    /// Bytes of request body.
    #[serde(default)]
    pub upload: usize,
    /// Time in ms within which an answer is useful.
    pub deadline_ms: u64,
}

/// Requests that take many times longer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stragglers {
    /// Share of requests, 0 to 1.
    pub share: f64,
    /// Factor on their service time.
    pub factor: f64,
}

/// One experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name.
    pub name: Box<str>,
    /// Folder of the declarations, relative to the experiments file.
    pub declarations: Box<str>,
    /// Service under load.
    pub service: Box<str>,
    /// Its address within packets.
    pub address: SocketAddrV4,
    /// Seed.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// First of the loopback ports used.
    pub port: u16,
    /// Data centres.
    pub centres: usize,
    /// Delay in ms from callers to the data centres, one way.
    pub delay_ms: u64,
    /// Balancers.
    pub balancers: usize,
    /// Hosts of the service.
    pub hosts: usize,
    /// Slots of a host.
    pub slots: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Arrivals per second outside of surges.
    pub rate: f64,
    /// Surges.
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// Stragglers.
    #[serde(default)]
    pub stragglers: Stragglers,
    /// Kinds of requests.
    pub classes: Vec<ClassLoad>,
}

impl Experiment {
    /// Factor on the rate at a time.
    #[must_use]
    pub fn factor(&self, second: f64) -> f64 {
        let surges = self.surges.iter();
        let now = surges.filter(|surge| second >= surge.from && second < surge.to);
        now.map(|surge| surge.factor).fold(1.0, f64::max)
    }

    /// Mean service time in ms, stragglers included.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &ClassLoad| class.share * class.service_ms as f64;
        let work: f64 = self.classes.iter().map(work).sum();
        let extra = 1.0 + self.stragglers.share * (self.stragglers.factor - 1.0).max(0.0);
        work / shares * extra
    }

    /// Requests per second that the slots can do.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        (self.hosts * self.slots) as f64 * 1_000.0 / self.mean_ms()
    }

    fn highest_rate(&self) -> f64 {
        let factors = self.surges.iter().map(|surge| surge.factor);
        self.rate * factors.fold(1.0, f64::max)
    }
}

/// Reads and checks a file.
///
/// # Errors
/// With the place of the first finding.
pub fn read(path: &Path) -> Result<Document<Experiments>, JsoncError> {
    let document = jsonc::read::<Experiments>(path)?;
    for (index, experiment) in document.value.experiments.iter().enumerate() {
        let finding = check(experiment);
        if let Some((field, message)) = finding {
            return Err(document.invalid(&format!("experiments[{index}].{field}"), message));
        }
    }
    Ok(document)
}

fn check(experiment: &Experiment) -> Option<(&'static str, String)> {
    let requests = experiment.highest_rate() * experiment.seconds as f64;
    let counted = |value: usize, most: usize| (1..=most).contains(&value);
    if experiment.seconds == 0 || experiment.seconds > MAX_SECONDS {
        return Some(("seconds", format!("use 1 to {MAX_SECONDS}")));
    }
    if !(experiment.rate > 0.0 && requests <= MAX_REQUESTS) {
        let message = format!("{requests} requests at the highest rate; use up to {MAX_REQUESTS}");
        return Some(("rate", message));
    }
    if !counted(experiment.hosts, MAX_HOSTS) || !counted(experiment.slots, 64) {
        return Some((
            "hosts",
            format!("use 1 to {MAX_HOSTS} hosts with 1 to 64 slots"),
        ));
    }
    if !counted(experiment.balancers, 8) || !counted(experiment.centres, 8) {
        return Some(("balancers", "use 1 to 8 balancers and data centres".into()));
    }
    if !counted(experiment.connections, 20_000) {
        return Some(("connections", "use 1 to 20000".into()));
    }
    if experiment
        .classes
        .iter()
        .map(|class| class.share)
        .sum::<f64>()
        <= 0.0
    {
        return Some(("classes", "the shares add up to nothing".into()));
    }
    None
}
