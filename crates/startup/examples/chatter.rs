//! Writes log records until it is told to stop; for tests of the log writer.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use slog::info;
use startup::{LogSettings, MetricsSettings, Telemetry};

/// Records between two looks at the clock.
const BATCH: usize = 100;

fn main() -> ExitCode {
    let (log, metrics) = (LogSettings::default(), MetricsSettings::default());
    let Ok(telemetry) = Telemetry::start(&log, &metrics, "chatter", "here") else {
        return ExitCode::FAILURE;
    };
    let end = Instant::now() + Duration::from_secs(1);
    let mut records = 0;
    while Instant::now() < end {
        for _ in 0..BATCH {
            info!(telemetry.log, "a record that nobody may read"; "number" => records);
            records += 1;
        }
    }
    eprintln!("{records}");
    ExitCode::SUCCESS
}
