//! Commands on a folder of declarations.

use api::{PutReply, PutRequest, Retire, Stored, path};
use profile::{Change, ChangeKind, Declaration, diff, read_folder};
use reqwest::Method;
use serde::Serialize;
use units::Version;

use super::{Context, change, new_key, seconds};
use crate::cli::{Apply, Plan};
use crate::client::Call;
use crate::error::{CliError, Code};
use crate::text;

/// One change that control accepted.
#[derive(Debug, Serialize)]
struct Applied {
    #[serde(flatten)]
    change: Change,
    version: Version,
}

/// Result of `apply`.
#[derive(Debug, Serialize)]
struct ApplyResult {
    applied: Vec<Applied>,
    version: Version,
    /// Whether it is in force everywhere; `null` without `--wait`.
    in_force: Option<bool>,
}

pub async fn plan(context: &Context, options: &Plan) -> Result<Code, CliError> {
    let wanted = read_folder(&options.dir)?;
    let accepted = declarations(context).await?;
    let changes = changes(&accepted, &wanted, options.retire);
    text::print(context.output, &changes, |out| {
        changes.iter().for_each(|change| text::change(out, change));
        if changes.is_empty() {
            out.push("no differences".into());
        }
        note_kept(out, &accepted, &wanted, options.retire);
    });
    Ok(if changes.is_empty() {
        Code::Done
    } else {
        Code::Differs
    })
}

pub async fn apply(context: &Context, options: &Apply) -> Result<Code, CliError> {
    let wait = options.wait.map(|wait| seconds("--wait", wait, 0));
    let wait = wait.transpose()?;
    let wanted = read_folder(&options.dir)?;
    let accepted = declarations(context).await?;
    let mut applied = Vec::new();
    for change in changes(&accepted, &wanted, options.retire) {
        let reply = match send(context, &accepted, &wanted, &change).await {
            Ok(reply) => reply,
            Err(error) => {
                show_partial(&applied);
                return Err(error);
            }
        };
        let version = reply.version;
        applied.push(Applied { change, version });
    }
    let newest = accepted.iter().map(|stored| stored.version).max();
    let version = applied.iter().map(|a| a.version).chain(newest).max();
    let version = version.unwrap_or_default();
    let pending = match wait {
        Some(wait) => Some(change::wait(context, version, wait).await?),
        None => None,
    };
    let result = ApplyResult {
        applied,
        version,
        in_force: pending.as_ref().map(Option::is_none),
    };
    text::print(context.output, &result, |out| {
        for applied in &result.applied {
            text::change(out, &applied.change);
        }
        if result.applied.is_empty() {
            out.push("no differences".into());
        }
        out.push(format!("version {version}"));
        note_kept(out, &accepted, &wanted, options.retire);
    });
    Ok(change::report_wait(context.output, pending.as_ref()))
}

/// Changes accepted before one failed, so that the operator knows where it stopped.
fn show_partial(applied: &[Applied]) {
    for done in applied {
        let change = &done.change;
        eprintln!(
            "jacinthsill: accepted before the failure: {} {} {} (version {})",
            change.change, change.kind, change.name, done.version
        );
    }
}

async fn declarations(context: &Context) -> Result<Vec<Stored>, CliError> {
    context.client.get("list", path::DECLARATIONS).await
}

fn changes(accepted: &[Stored], wanted: &[Declaration], retire: bool) -> Vec<Change> {
    let accepted: Vec<_> = accepted.iter().map(|stored| stored.body.clone()).collect();
    let mut changes = diff(&accepted, wanted);
    changes.retain(|change| retire || change.change != ChangeKind::Retire);
    changes
}

fn note_kept(out: &mut Vec<String>, accepted: &[Stored], wanted: &[Declaration], retire: bool) {
    if retire {
        return;
    }
    let kept = changes(accepted, wanted, true);
    for change in kept.iter().filter(|c| c.change == ChangeKind::Retire) {
        out.push(format!(
            "{} {} is not in the folder and stays; retire it with --retire",
            change.kind, change.name
        ));
    }
}

async fn send(
    context: &Context,
    accepted: &[Stored],
    wanted: &[Declaration],
    change: &Change,
) -> Result<PutReply, CliError> {
    let is = |d: &Declaration| d.kind() == &*change.kind && d.name() == &*change.name;
    let seen = accepted.iter().find(|stored| is(&stored.body));
    let expected = seen.map_or(Version(0), |stored| stored.version);
    let step = format!("{} {} {}", change.change, change.kind, change.name);
    let path = format!("{}/{}/{}", path::DECLARATIONS, change.kind, change.name);
    let key = new_key();
    let body = wanted.iter().find(|d| is(d));
    let call = Call {
        step: &step,
        method: if body.is_some() {
            Method::PUT
        } else {
            Method::DELETE
        },
        path: &path,
        key: Some(&key),
    };
    let author = context.author.clone();
    match body {
        Some(body) => {
            let request = PutRequest {
                expected,
                key: key.as_str().into(),
                author,
                body: body.clone(),
            };
            context.client.send(&call, &request).await
        }
        None => {
            let request = Retire {
                expected,
                key: key.as_str().into(),
                author,
            };
            context.client.send(&call, &request).await
        }
    }
}
