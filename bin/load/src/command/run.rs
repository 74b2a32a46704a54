//! `load settings` and `load run`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::error::LoadError;
use crate::run::{Experiment, Summary, drive, plot, read, write_settings};

fn choose(file: &Path, only: &str) -> Result<Experiment, LoadError> {
    let document = read(file)?;
    let found = document
        .value
        .experiments
        .into_iter()
        .find(|e| &*e.name == only);
    found.ok_or_else(|| LoadError::Usage {
        what: "--only".into(),
        message: format!("{} has no experiment {only}", file.display()).into(),
    })
}

/// Lists the experiments of a file, or writes the settings of one.
pub(super) fn settings(flags: &crate::cli::Settings) -> Result<ExitCode, LoadError> {
    match (&flags.only, &flags.out) {
        (Some(only), Some(out)) => write_settings(&choose(&flags.file, only)?, out)?,
        _ => {
            for experiment in read(&flags.file)?.value.experiments {
                println!("{} {}", experiment.name, experiment.declarations);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs one experiment on the processes that a script started.
pub(super) async fn run(flags: crate::cli::Run) -> Result<ExitCode, LoadError> {
    let experiment = choose(&flags.file, &flags.only)?;
    let summary = drive(&experiment).await?;
    print(&summary);
    let out = flags.out.unwrap_or_else(|| PathBuf::from("."));
    let text = serde_json::to_vec_pretty(&summary).unwrap_or_default();
    let file = out.join(format!("{}.json", experiment.name));
    std::fs::write(&file, text).map_err(LoadError::io(file.display().to_string()))?;
    plot(&summary, &out.join(format!("{}.svg", experiment.name)))?;
    Ok(ExitCode::SUCCESS)
}

fn print(summary: &Summary) {
    println!(
        "{}: capacity {:.0} requests/s",
        summary.experiment.name, summary.capacity
    );
    for class in &summary.classes {
        let [p50, p90, p99, p999, most] = class.latency_ms;
        println!(
            "  {}: {} offered, {} useful, {} complete, {} not run, {} other; \
             ms p50 {p50:.1} p90 {p90:.1} p99 {p99:.1} p99.9 {p999:.1} max {most:.1}",
            class.name, class.offered, class.useful, class.complete, class.not_run, class.other
        );
    }
    println!(
        "  busy slots max/mean {:.3}, begun by host {:?}, {} connections broken",
        summary.busy_imbalance, summary.begun, summary.broken
    );
    let slots = (summary.experiment.hosts * summary.experiment.slots * 1_000) as f64;
    let share = |second: &crate::run::Second| second.work_ms as f64 / slots;
    let shares: Vec<_> = summary
        .seconds
        .iter()
        .map(|s| format!("{:.2}", share(s)))
        .collect();
    println!(
        "  useful share of the slots by second: {}",
        shares.join(" ")
    );
}
