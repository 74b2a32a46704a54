//! Slopes for the capacity page, as a table and as JSON.

use std::process::ExitCode;

use ::capacity::{Options, Slope, measure};

use crate::cli::Capacity;
use crate::error::LoadError;

/// Measures the slopes and prints them.
///
/// # Errors
/// When a figure can't be had or the file can't be written.
pub async fn run(flags: Capacity, allocated: fn() -> usize) -> Result<ExitCode, LoadError> {
    let options = Options {
        divisor: flags.divisor.unwrap_or(1).max(1),
        allocated,
    };
    // Other tasks of this program would add to the processor time of a shared thread.
    let measured = tokio::task::spawn_blocking(move || {
        measure(options, &mut |part| eprintln!("measuring: {part}"))
    });
    let failed = |message: String| LoadError::Capacity(message.into());
    let slopes = measured
        .await
        .map_err(|e| failed(e.to_string()))?
        .map_err(|e| failed(e.to_string()))?;
    print(&slopes);
    if let Some(file) = flags.json {
        let text = serde_json::to_vec_pretty(&slopes).map_err(|e| failed(e.to_string()))?;
        std::fs::write(&file, text).map_err(LoadError::io("write the slopes"))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print(slopes: &[Slope]) {
    for slope in slopes {
        let fit = slope.fit;
        let shape = if fit.linear { "linear" } else { "not linear" };
        println!("{}: {} [{}]", slope.role, slope.name, slope.unit);
        println!(
            "  {:.4} per {}, {:.1} fixed, residual {:.3}, {shape}",
            fit.slope, slope.per, fit.intercept, fit.residual
        );
        let points: Vec<_> = slope
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {y:.1}"))
            .collect();
        println!("  {}", points.join(", "));
    }
}
