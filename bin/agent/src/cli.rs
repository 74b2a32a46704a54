//! Command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Terminates the flows of one backend server and admits its requests.
    cmd agent {
        /// Settings file (JSON with comments).
        required --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
