//! Settings files of an experiment's processes.

use std::net::SocketAddrV4;
use std::path::Path;

use serde_json::{Value, json};

use super::Experiment;
use crate::error::LoadError;

/// Control replicas.
const CONTROLS: u16 = 3;

/// Ports from the first one of the experiment.
pub(super) mod offset {
    pub(in super::super) const CONTROL: u16 = 1;
    pub(in super::super) const FABRIC: u16 = 10;
    pub(in super::super) const BALANCER: u16 = 11;
    pub(in super::super) const PACKETS: u16 = 20;
    pub(in super::super) const HTTP: u16 = 60;
    pub(in super::super) const BACKEND: u16 = 100;
}

impl Experiment {
    /// Loopback address of one of the experiment's ports.
    #[must_use]
    pub(super) fn loopback(&self, offset: u16, index: usize) -> SocketAddrV4 {
        let index = u16::try_from(index).unwrap_or(0);
        SocketAddrV4::new([127, 0, 0, 1].into(), self.port + offset + index)
    }
}

/// Writes a settings file for each process and the list `processes` of program and file.
///
/// # Errors
/// When a file can't be written.
pub fn write_settings(experiment: &Experiment, folder: &Path) -> Result<(), LoadError> {
    let key = folder.join("key.hex");
    write(&key, &format!("{:064x}\n", experiment.seed))?;
    let control: Vec<_> = (0..CONTROLS)
        .map(|index| experiment.loopback(offset::CONTROL, usize::from(index)))
        .collect();
    let centre = |index: usize| format!("dc-{}", index % experiment.centres + 1);
    let mut list = String::new();
    let mut add = |program: &str, name: &str, settings: Value| -> Result<(), LoadError> {
        let file = folder.join(format!("{name}.jsonc"));
        list.push_str(&format!("{program} {name}\n"));
        write(&file, &settings.to_string())
    };
    let peers: Vec<_> = control
        .iter()
        .enumerate()
        .map(|(index, address)| json!({"id": index + 1, "address": address}))
        .collect();
    for (index, address) in control.iter().enumerate() {
        let name = format!("control-{}", index + 1);
        let settings = json!({
            "id": index + 1, "host": name, "centre": centre(index), "region": 0,
            "listen": address, "folder": folder.join(&name), "key_file": key,
            "peers": peers, "join": false
        });
        add("control", &name, settings)?;
    }
    for index in 0..experiment.balancers {
        let name = format!("balancer-{}", index + 1);
        let settings = json!({
            "host": name, "centre": centre(index), "region": 0,
            "packets": experiment.loopback(offset::BALANCER, index),
            "control": control, "key_file": key
        });
        add("balancer", &name, settings)?;
    }
    for index in 0..experiment.hosts {
        let name = format!("{}-{}", experiment.service, index + 1);
        let settings = json!({
            "host": name, "centre": centre(index), "region": 0, "service": experiment.service,
            "packets": experiment.loopback(offset::PACKETS, index),
            "http": experiment.loopback(offset::HTTP, index),
            "fabric": experiment.loopback(offset::FABRIC, 0),
            "backend": experiment.loopback(offset::BACKEND, index),
            "slots": experiment.slots, "weight": 100, "control": control, "key_file": key
        });
        add("agent", &name, settings)?;
    }
    let addresses: Vec<_> = control.iter().map(ToString::to_string).collect();
    write(&folder.join("control"), &addresses.join(","))?;
    write(&folder.join("processes"), &list)
}

fn write(file: &Path, text: &str) -> Result<(), LoadError> {
    let step = format!("write {}", file.display());
    std::fs::write(file, text).map_err(LoadError::io(step))
}
