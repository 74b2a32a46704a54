//! Command line.

use std::path::PathBuf;
use std::str::FromStr;

use api::TargetKind;
use platform::check::Role;
use units::HostName;

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not text or json")),
        }
    }
}

/// Kind of a declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Profile.
    Profile,
    /// Service.
    Service,
    /// Route.
    Route,
}

impl Kind {
    /// As it stands in paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Profile => "profile",
            Self::Service => "service",
            Self::Route => "route",
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "profile" => Ok(Self::Profile),
            "service" => Ok(Self::Service),
            "route" => Ok(Self::Route),
            _ => Err(format!("{text:?} is not profile, service or route")),
        }
    }
}

/// Settings file of a program on the users' platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFile {
    pub role: Role,
    pub file: PathBuf,
}

impl FromStr for SettingsFile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('=');
        let parts = parts.and_then(|(role, file)| Some((role.parse().ok()?, file.into())));
        let (role, file) = parts
            .ok_or_else(|| format!("{text:?} is not balancer=FILE, agent=FILE or control=FILE"))?;
        Ok(Self { role, file })
    }
}

xflags::xflags! {
    /// Declares profiles and services, announces planned changes and reads the
    /// report. Exit codes: 0 done, 1 failure, 2 usage or invalid declaration,
    /// 3 conflict, 4 not in force yet or differences found, 5 control unreachable.
    cmd jacinthsill {
        /// Control replicas as ip:port, separated by commas; default from JACINTHSILL_CONTROL.
        optional --control addresses: String
        /// text or json.
        optional --output output: Output
        /// Who makes the change; default from JACINTHSILL_AUTHOR or USER.
        optional --author name: String
        /// Seconds until an unanswered request is given up; default 15.
        optional --timeout seconds: u64

        /// Checks the declarations in a folder, or files of the users' platform, without control.
        cmd check {
            optional dir: PathBuf
            /// Settings of a platform program as balancer=FILE, agent=FILE or control=FILE.
            repeated --settings file: SettingsFile
            /// Configuration that the platform's operator sends.
            optional --configuration file: PathBuf
        }
        /// Shows what apply would change; exit code 4 if there is anything.
        cmd plan {
            required dir: PathBuf
            /// Count declarations that are not in the folder as retired.
            optional --retire
        }
        /// Makes control's declarations equal to those in a folder.
        cmd apply {
            required dir: PathBuf
            /// Retire declarations that are not in the folder.
            optional --retire
            /// Wait until the changes are in force everywhere; exit code 4 if they are not.
            optional --wait seconds: u64
        }
        /// Shows one declaration.
        cmd get {
            /// profile, service or route.
            required kind: Kind
            required name: String
        }
        /// Lists every declaration.
        cmd list {
        }
        /// Retires a declaration.
        cmd retire {
            /// profile, service or route.
            required kind: Kind
            required name: String
            /// Version that you saw; the current one if left out.
            optional --expected version: u64
            /// Operator key of an earlier attempt whose outcome is unknown.
            optional --key key: String
            /// Wait until the change is in force everywhere.
            optional --wait seconds: u64
        }
        /// Announces a planned change of a VM.
        cmd announce {
            /// backend-server, balancer or control.
            required kind: TargetKind
            required host: HostName
            /// Start: now, +30s, +5m, +2h, RFC 3339 or Unix ms.
            required --start time: String
            /// End: likewise; a span counts from the start.
            required --end time: String
            /// Operator key of an earlier attempt whose outcome is unknown.
            optional --key key: String
        }
        /// Shows control replicas, nodes and the newest change; exit code 4 if it is not in force
        /// everywhere.
        cmd status {
        }
        /// Shows burn rates, silent agents, flows and every change.
        cmd report {
        }
        /// Shows the audit record.
        cmd audit {
        }
        /// Shows what the logs in files say about a flow or another id, without control.
        cmd trace {
            /// Flow (caller>service), one end of it, a host, or any value of a field.
            required id: String
            /// Logs of the processes, in any order.
            repeated file: PathBuf
            /// Seconds around its own lines from which lines about no flow are shown; default 1.
            optional --around seconds: u64
        }
    }
}
