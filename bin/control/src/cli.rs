//! Command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Keeps declarations, members and key sets in a replicated log.
    cmd control {
        /// Settings file, JSON with comments.
        required --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
