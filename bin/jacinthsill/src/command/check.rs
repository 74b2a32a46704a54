//! Checks of files without control.

use std::path::Path;

use profile::read_folder;
use serde::Serialize;

use crate::cli::{Check, Output};
use crate::error::{CliError, Code};
use crate::text;

/// What is valid in a folder or a configuration.
#[derive(Debug, Serialize)]
struct Declared {
    profiles: usize,
    services: usize,
    routes: usize,
}

/// Result of `check`; what was not asked for is left out.
#[derive(Debug, Default, Serialize)]
struct Checked {
    #[serde(skip_serializing_if = "Option::is_none", flatten)]
    declarations: Option<Declared>,
    #[serde(skip_serializing_if = "Option::is_none")]
    configuration: Option<Declared>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    settings: Vec<String>,
}

pub fn check(output: Output, options: &Check) -> Result<Code, CliError> {
    if options.dir.is_none() && options.settings.is_empty() && options.configuration.is_none() {
        let message = "name a folder, --settings or --configuration";
        return Err(CliError::Usage(message.into()));
    }
    let mut checked = Checked::default();
    if let Some(dir) = &options.dir {
        checked.declarations = Some(folder(dir)?);
    }
    for settings in &options.settings {
        platform::check::settings(settings.role, &settings.file)?;
        checked.settings.push(settings.file.display().to_string());
    }
    if let Some(file) = &options.configuration {
        let deployment = platform::check::configuration(file)?;
        checked.configuration = Some(Declared {
            profiles: deployment.profiles.len(),
            services: deployment.services.len(),
            routes: deployment.routes.len(),
        });
    }
    text::print(output, &checked, |out| lines(out, &checked));
    Ok(Code::Done)
}

fn folder(dir: &Path) -> Result<Declared, CliError> {
    let wanted = read_folder(dir)?;
    let count = |kind: &str| wanted.iter().filter(|d| d.kind() == kind).count();
    Ok(Declared {
        profiles: count("profile"),
        services: count("service"),
        routes: count("route"),
    })
}

fn lines(out: &mut Vec<String>, checked: &Checked) {
    if let Some(declared) = &checked.declarations {
        out.push(format!(
            "{} profiles and {} services are valid",
            declared.profiles, declared.services
        ));
        if declared.routes > 0 {
            out.push(format!("{} routes are valid", declared.routes));
        }
    }
    for file in &checked.settings {
        out.push(format!("{file} is valid"));
    }
    if let Some(declared) = &checked.configuration {
        out.push(format!(
            "the configuration is valid: {} services, {} routes",
            declared.services, declared.routes
        ));
    }
}
