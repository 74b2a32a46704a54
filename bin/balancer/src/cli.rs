//! Command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Forwards packets from the fabric to the agents that own their flows.
    cmd balancer {
        /// Settings file (JSON with comments).
        required --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
