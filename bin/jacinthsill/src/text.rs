//! Output for people and programs.

use std::io::Write;

use api::{AuditEntry, AuditEvent, BurnWindow, Report, ServiceReport, Status, Stored};
use profile::Change;
use serde::Serialize;
use serde_json::json;
use units::{HostName, Millis};

use crate::cli::Output;
use crate::command::TraceReport;
use crate::error::CliError;
use crate::time;

/// Prints a value as JSON, or the lines that `lines` makes.
pub fn print<T: Serialize>(output: Output, value: &T, lines: impl FnOnce(&mut Vec<String>)) {
    let mut out = Vec::new();
    match output {
        Output::Json => out.extend(serde_json::to_string_pretty(value).ok()),
        Output::Text => lines(&mut out),
    }
    // A closed pipe (`| head`) is no failure of the command.
    let mut stdout = std::io::stdout().lock();
    for line in out {
        let _written = writeln!(stdout, "{line}");
    }
}

/// Lines about an id.
pub fn trace(out: &mut Vec<String>, report: &TraceReport) {
    for clock in &report.clocks {
        out.push(format!(
            "// clock of {}: {:+.3} s added",
            clock.node,
            clock.added_us as f64 / 1e6
        ));
    }
    if report.skipped > 0 {
        out.push(format!("// {} lines are no records", report.skipped));
    }
    for found in &report.lines {
        let mark = if found.named { ' ' } else { '·' };
        let line = &found.line;
        let mut text = format!(
            "{} {mark} {:<10} {:<24} {}",
            time::show_us(found.time_us),
            line.program,
            line.node,
            line.msg
        );
        for (name, value) in &line.fields {
            text += &format!("  {name}={}", plain(value));
        }
        out.push(text);
    }
}

/// A value without the quotes of a text.
fn plain(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), Into::into)
}

/// Prints an error as JSON.
pub fn print_error(error: &CliError) {
    let value = json!({ "error": error.to_string(), "exit": error.code() as u8 });
    print(Output::Json, &value, |_| {});
}

/// A difference with its fields.
pub fn change(out: &mut Vec<String>, change: &Change) {
    out.push(format!("{} {} {}", change.change, change.kind, change.name));
    out.extend(change.fields.iter().map(|field| format!("    {field}")));
}

/// A declaration with its version.
pub fn stored(out: &mut Vec<String>, stored: &Stored) {
    out.push(format!(
        "// version {} by {}",
        stored.version, stored.author
    ));
    let body = match &stored.body {
        profile::Declaration::Profile(profile) => serde_json::to_string_pretty(profile),
        profile::Declaration::Service(service) => serde_json::to_string_pretty(service),
        profile::Declaration::Route(route) => serde_json::to_string_pretty(route),
    };
    out.extend(body.ok());
}

/// One line per declaration.
pub fn list(out: &mut Vec<String>, list: &[Stored]) {
    for stored in list {
        let mut line = format!(
            "{:<8} {:<32} version {:>6}  {}",
            stored.body.kind(),
            stored.body.name(),
            stored.version.0,
            stored.author
        );
        match &stored.body {
            profile::Declaration::Profile(_) => {}
            profile::Declaration::Service(service) => {
                line += " ";
                if let Some(address) = service.address {
                    line += &format!(" {address}");
                }
                line += &format!(" profile {}", service.profile);
            }
            profile::Declaration::Route(route) => {
                let names = route.targets.iter().map(|t| t.service.to_string());
                let names: Vec<_> = names.collect();
                line += &format!("  {} to {}", route.address, names.join(", "));
            }
        }
        out.push(line);
    }
}

/// Replicas, nodes and the newest change.
pub fn status(out: &mut Vec<String>, status: &Status) {
    out.push(format!(
        "configuration version {}, in force everywhere: {}",
        status.config, status.in_force
    ));
    if let Some(pending) = &status.pending {
        let missing = names(&pending.missing);
        out.push(format!(
            "version {} is missing at: {missing}",
            pending.version
        ));
    }
    for (id, address, kind, answers) in &status.replicas {
        let role = if *address == status.leader {
            "leader"
        } else {
            kind
        };
        let state = if *answers { "answers" } else { "SILENT" };
        out.push(format!("control {id:<4} {address:<22} {role:<8} {state}"));
    }
    for node in &status.nodes {
        out.push(format!(
            "{:<9} {:<24} version {:>6}  flows {:>8}  heard {:>6} ms ago{}",
            node.role.to_string(),
            node.host.to_string(),
            node.config.0,
            node.flows,
            node.age_ms.0,
            if node.live { "" } else { "  LOST" }
        ));
    }
}

/// Services, then changes.
pub fn report(out: &mut Vec<String>, report: &Report) {
    out.push(format!("report of {}", time::show(report.at)));
    for service in &report.services {
        service_report(out, service);
    }
    out.push("changes".into());
    audit(out, &report.audit);
}

fn service_report(out: &mut Vec<String>, service: &ServiceReport) {
    let counts = &service.counts;
    out.push(format!("service {}", service.service));
    for objective in &service.objectives {
        let windows: Vec<_> = objective.windows.iter().map(window).collect();
        out.push(format!(
            "  {} {} within {} ms: burn {}{}",
            objective.class,
            objective.share,
            objective.latency_ms,
            windows.join(", "),
            if objective.alert {
                "  ACTION REQUIRED"
            } else {
                ""
            }
        ));
    }
    out.push(format!(
        "  flows kept {}, broken {}; refused as not run {}, outcome unknown {}",
        counts.kept, counts.broken, counts.not_run, counts.unknown
    ));
    out.push(format!("  measured by: {}", names(&service.measured)));
    if !service.silent.is_empty() {
        let silent = names(&service.silent);
        out.push(format!("  SILENT, not known to be good: {silent}"));
    }
}

fn window(window: &BurnWindow) -> String {
    let length = span(window.window_ms);
    match window.rate {
        Some(rate) => format!("{length} {rate:.2}"),
        None => format!("{length} no requests"),
    }
}

fn span(length: Millis) -> String {
    match length.0 / 60_000 {
        minutes if minutes < 60 => format!("{minutes} min"),
        minutes if minutes < 24 * 60 => format!("{} h", minutes / 60),
        minutes => format!("{} days", minutes / (24 * 60)),
    }
}

fn names(hosts: &[HostName]) -> String {
    let names: Vec<_> = hosts.iter().map(ToString::to_string).collect();
    if names.is_empty() {
        "none".into()
    } else {
        names.join(", ")
    }
}

/// One line per entry.
pub fn audit(out: &mut Vec<String>, entries: &[AuditEntry]) {
    for entry in entries {
        let what = match &entry.event {
            AuditEvent::Put { kind, name } => format!("accepted {kind} {name}"),
            AuditEvent::Retire { kind, name } => format!("retired {kind} {name}"),
            AuditEvent::Replace { revision } => {
                format!("accepted whole configuration {revision}")
            }
            AuditEvent::Announce { target, start, end } => format!(
                "announced {} {} from {} to {}",
                target.kind,
                target.host,
                time::show(*start),
                time::show(*end)
            ),
            AuditEvent::InForce { nodes, missing } if missing.is_empty() => {
                format!("in force at all {nodes} live nodes")
            }
            AuditEvent::InForce { nodes, missing } => format!(
                "in force at all {nodes} live nodes; lost before they had it: {}",
                names(missing)
            ),
            AuditEvent::Member { host, state } => format!("backend server {host} is {state}"),
        };
        let version = match entry.version.0 {
            0 => String::new(),
            version => format!("version {version} "),
        };
        out.push(format!(
            "{} {version}{what} by {}",
            time::show(entry.at),
            entry.author
        ));
    }
}
