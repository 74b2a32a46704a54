//! What a command is about, in a few words for the log.

use state::{Action, Outcome, Refusal, TableChange};

/// Most changed tables that are named.
const MAX_TABLES: usize = 4;

/// What a command does.
pub(crate) fn of(action: &Action) -> String {
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
            let tables: Vec<_> = changes.iter().take(MAX_TABLES).map(table).collect();
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

fn table(change: &TableChange) -> String {
    let put = change.put.iter().map(|m| format!("{} {}", m.host, m.state));
    let gone = change.gone.iter().map(|(host, _)| format!("{host} gone"));
    let members: Vec<_> = put.chain(gone).collect();
    format!("{}: {}", change.service, members.join(", "))
}

/// What became of a command.
pub(crate) fn of_outcome(outcome: &Outcome) -> String {
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
