//! What every binary does at its start: settings, logs, metrics and stop signals.

mod logs;
mod metrics;
mod settings;
mod stop;

pub use logs::{LogFormat, LogSettings, logger};
pub use metrics::{MetricsError, MetricsSettings, metrics};
pub use settings::load;
pub use stop::{Stop, StopError, Urgency};
