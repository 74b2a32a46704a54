//! Control: keeps declarations, members and key sets in a replicated log.
//!
//! The program `control` runs it with operators' own interface; an adapter to
//! another environment adds its calls to the same server.

mod burn;
#[expect(
    missing_docs,
    reason = "xflags generates the types from documented options"
)]
pub mod cli;
pub mod error;
mod http;
mod lead;
mod node;
mod run;
mod settings;
mod summary;

pub use http::Api;
pub use node::Node;
pub use run::{Control, run};
pub use settings::{Files, Group, Settings, load, prepare};
