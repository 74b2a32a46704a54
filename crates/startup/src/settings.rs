//! Settings files.

use std::path::Path;

use jsonc::{Document, JsoncError};
use serde::de::DeserializeOwned;

/// Reads the settings of a binary; settings missing from the file keep their defaults.
///
/// # Errors
/// When the file can't be read or contains an unknown or malformed field.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<Document<T>, JsoncError> {
    jsonc::read(path)
}
