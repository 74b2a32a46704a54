//! Writes log records for one second, then prints their number to stderr; used by the tests of the
//! log writer.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use slog::info;
use startup::{LogSettings, MetricsSettings, Telemetry};

/// Records written between two checks of the time.
const BATCH_RECORDS: usize = 100;

fn main() -> ExitCode {
    let (log, metrics) = (LogSettings::default(), MetricsSettings::default());
    let Ok(telemetry) = Telemetry::start(&log, &metrics, "chatter", "here") else {
        return ExitCode::FAILURE;
    };
    let end = Instant::now() + Duration::from_secs(1);
    let mut records = 0;
    while Instant::now() < end {
        for _ in 0..BATCH_RECORDS {
            info!(telemetry.log, "test record"; "number" => records);
            records += 1;
        }
    }
    eprintln!("{records}");
    ExitCode::SUCCESS
}
