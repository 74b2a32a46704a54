//! Experiments: open-loop load on a deployment that is already running.
//!
//! No program starts another: `load settings` writes the settings files of an
//! experiment's processes, a script starts them, and `load run` provides
//! backend servers, fabric and callers.

mod arrivals;
mod declaration;
mod drive;
mod plot;
mod result;
mod settings;

pub use arrivals::{Arrival, arrivals};
pub use declaration::{ClassLoad, Experiment, Experiments, Stragglers, Surge, read};
pub use drive::drive;
pub use plot::plot;
pub use result::{ClassResult, Second, Summary};
pub use settings::write_settings;
