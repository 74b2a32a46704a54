//! Control: keeps declarations, members and key sets in a replicated log.
//!
//! The program `control` serves the operator endpoints of this crate; an adapter to another
//! environment registers further endpoints on the same server.

mod burn_queue;
#[expect(
    missing_docs,
    reason = "xflags generates the types from documented options"
)]
pub mod cli;
pub mod error;
mod http;
mod leader;
mod node;
mod run;
mod settings;
mod summary;
mod traffic;

pub use http::Api;
pub use node::Node;
pub use run::{Control, run};
pub use settings::{FileSettings, GroupSettings, Settings, load, prepare_data_folder};
