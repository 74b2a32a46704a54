//! Reads declarations from a folder.

use std::path::{Path, PathBuf};

use jsonc::JsoncError;
use serde::Deserialize;
use thiserror::Error;

use crate::{Declaration, Profile, Route, Service, check};

/// Error when reading declarations from a folder.
#[derive(Debug, Error)]
pub enum DeclarationError {
    /// The folder can't be read.
    #[error("cannot list the declarations in {folder}: {source}")]
    List {
        /// Folder.
        folder: Box<str>,
        /// I/O error.
        source: std::io::Error,
    },
    /// The folder contains no declaration file.
    #[error("{folder} holds no *.jsonc file; is it the right folder?")]
    Empty {
        /// Folder.
        folder: Box<str>,
    },
    /// Some files are not valid.
    #[error("{}", join_lines(errors))]
    Invalid {
        /// One error per finding.
        errors: Vec<JsoncError>,
    },
}

fn join_lines(errors: &[JsoncError]) -> String {
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Declarations of one file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Profiles.
    pub profiles: Vec<Profile>,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<Route>,
}

/// Reads and checks every `*.jsonc` file of a folder, ordered by file name.
///
/// # Errors
/// If the folder can't be read or contains no declaration file, or with every finding of the
/// checks.
pub fn read_folder(folder: &Path) -> Result<Vec<Declaration>, DeclarationError> {
    let mut documents = Vec::new();
    let mut errors = Vec::new();
    for file in declaration_files(folder)? {
        match jsonc::read::<Declarations>(&file) {
            Ok(document) => documents.push(document),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        errors = check(&documents);
    }
    if !errors.is_empty() {
        return Err(DeclarationError::Invalid { errors });
    }
    let values = documents.into_iter().map(|document| document.value);
    Ok(values.flat_map(Declarations::into_declarations).collect())
}

impl Declarations {
    fn into_declarations(self) -> Vec<Declaration> {
        let profiles = self.profiles.into_iter().map(Declaration::Profile);
        let services = self.services.into_iter().map(Declaration::Service);
        let routes = self.routes.into_iter().map(Declaration::Route);
        profiles.chain(services).chain(routes).collect()
    }
}

fn declaration_files(folder: &Path) -> Result<Vec<PathBuf>, DeclarationError> {
    let name: Box<str> = folder.display().to_string().into();
    let entries = std::fs::read_dir(folder).map_err(|source| DeclarationError::List {
        folder: name.clone(),
        source,
    })?;
    let mut files: Vec<_> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|e| e == "jsonc"))
        .collect();
    files.sort();
    if files.is_empty() {
        return Err(DeclarationError::Empty { folder: name });
    }
    Ok(files)
}
