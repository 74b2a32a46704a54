//! Short descriptions of commands and their outcomes for log lines.

use state::{Action, Outcome, Refusal, TableChange};

/// Largest number of changed tables that a description lists.
const MAX_LISTED_TABLES: usize = 4;

/// Describes the action of a command.
pub(crate) fn action(action: &Action) -> String {
    match action {
        Action::Put { body, author, .. } => {
            format!("put {} {} by {author}", body.kind(), body.name())
        }
        Action::Retire {
            kind, name, author, ..
        } => format!("retire {kind} {name} by {author}"),
        Action::Replace { author, deployment } => format!(
            "configuration {} with {} routes by {author}",
            deployment.revision,
            deployment.routes.len()
        ),
        Action::Announce(announce) => {
            format!(
                "planned change of {} {}",
                announce.target.kind, announce.target.host
            )
        }
        Action::Members(changes) => {
            let tables: Vec<_> = changes
                .iter()
                .take(MAX_LISTED_TABLES)
                .map(table_change)
                .collect();
            format!(
                "members of {} services: {}",
                changes.len(),
                tables.join("; ")
            )
        }
        Action::KeySet { service, members } => {
            format!("key set of service {service} with {} agents", members.len())
        }
        Action::Horizon(time) => format!("horizon {time}"),
        Action::InForce {
            version,
            nodes,
            missing,
        } => format!(
            "version {version} in force at {nodes} nodes, {} missing",
            missing.len()
        ),
        Action::Burn(batches) => format!("counts of {} agents", batches.len()),
    }
}

fn table_change(change: &TableChange) -> String {
    let put = change
        .put
        .iter()
        .map(|member| format!("{} {}", member.host, member.state));
    let gone = change.gone.iter().map(|(host, _)| format!("{host} gone"));
    let members: Vec<_> = put.chain(gone).collect();
    format!("{}: {}", change.service, members.join(", "))
}

/// Describes the outcome of a command.
pub(crate) fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done => "done".into(),
        Outcome::Put(reply) => format!("version {}", reply.version),
        Outcome::Replaced(reply) => format!("revision {}", reply.revision),
        Outcome::Conflict(conflict) => format!("conflict: {conflict:?}"),
        Outcome::Announced(announced) => format!("{announced:?}"),
        Outcome::Burn(newest) => format!("{} counted", newest.iter().flatten().count()),
        Outcome::Refused(
            Refusal::Invalid(text)
            | Refusal::Unknown(text)
            | Refusal::KeyTooOld(text)
            | Refusal::Full(text),
        ) => format!("refused: {text}"),
    }
}
