//! Commands that change one thing, and the wait until it is in force.

use std::time::{Duration, Instant};

use api::{Announce, Announced, Pending, PutReply, Retire, Status, Stored, Target, path};
use reqwest::Method;
use units::Version;

use super::{Context, new_key, seconds};
use crate::cli::{self, Output};
use crate::client::Call;
use crate::error::{CliError, Code};
use crate::{text, time};

/// Time between two looks at the status.
const POLL: Duration = Duration::from_millis(200);

pub async fn retire(context: &Context, options: &cli::Retire) -> Result<Code, CliError> {
    let wait = options.wait.map(|wait| seconds("--wait", wait, 0));
    let wait = wait.transpose()?;
    let kind = options.kind.as_str();
    let path = format!("{}/{kind}/{}", path::DECLARATIONS, options.name);
    let step = format!("retire {kind} {}", options.name);
    let expected = match options.expected {
        Some(version) => Version(version),
        None => {
            let stored: Stored = context.client.get(&step, &path).await?;
            stored.version
        }
    };
    let key = options.key.clone().unwrap_or_else(new_key);
    let call = Call {
        step: &step,
        method: Method::DELETE,
        path: &path,
        key: Some(&key),
    };
    let request = Retire {
        expected,
        key: key.as_str().into(),
        author: context.author.clone(),
    };
    let reply: PutReply = context.client.send(&call, &request).await?;
    let pending = match wait {
        Some(limit) => Some(self::wait(context, reply.version, limit).await?),
        None => None,
    };
    text::print(context.output, &reply, |out| {
        out.push(format!("{kind} {} is retired", options.name));
        out.push(format!("version {}", reply.version));
    });
    Ok(report_wait(context.output, pending.as_ref()))
}

pub async fn announce(context: &Context, options: &cli::Announce) -> Result<Code, CliError> {
    let now = time::now();
    let start = time::parse(&options.start, now)?;
    let base = if options.end.starts_with('+') {
        start
    } else {
        now
    };
    let end = time::parse(&options.end, base)?;
    let key = options.key.clone().unwrap_or_else(new_key);
    let step = format!("announce {} {}", options.kind, options.host);
    let call = Call {
        step: &step,
        method: Method::POST,
        path: path::ANNOUNCEMENTS,
        key: Some(&key),
    };
    let request = Announce {
        target: Target {
            kind: options.kind,
            host: options.host.clone(),
        },
        start,
        end,
        key: key.as_str().into(),
        author: context.author.clone(),
    };
    let reply: Announced = context.client.send(&call, &request).await?;
    text::print(context.output, &reply, |out| {
        out.push(format!(
            "planned change {}: {} {} takes no new work from {} to {}",
            reply.number,
            options.kind,
            options.host,
            time::show(start),
            time::show(end)
        ));
    });
    Ok(Code::Done)
}

/// Waits until a version is in force everywhere; returns what is missing after the limit.
///
/// # Errors
/// When control does not answer.
pub async fn wait(
    context: &Context,
    version: Version,
    limit: Duration,
) -> Result<Option<Pending>, CliError> {
    let deadline = Instant::now() + limit;
    loop {
        let status: Status = context.client.get("wait", path::STATUS).await?;
        if status.in_force >= version {
            return Ok(None);
        }
        if Instant::now() >= deadline {
            let unknown = Pending {
                version,
                missing: Vec::new(),
            };
            return Ok(Some(status.pending.unwrap_or(unknown)));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Prints the result of a wait and gives the exit code.
pub fn report_wait(output: Output, pending: Option<&Option<Pending>>) -> Code {
    match pending {
        None => Code::Done,
        Some(None) => {
            if output == Output::Text {
                println!("in force everywhere");
            }
            Code::Done
        }
        Some(Some(pending)) => {
            let missing: Vec<_> = pending.missing.iter().map(ToString::to_string).collect();
            let missing = if missing.is_empty() {
                "not confirmed yet".into()
            } else {
                format!("missing at {}", missing.join(", "))
            };
            eprintln!(
                "jacinthsill: version {} is not in force: {missing}",
                pending.version
            );
            Code::Differs
        }
    }
}
