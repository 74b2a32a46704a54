//! Commands that only read.

use api::{AuditEntry, Report, Status, Stored, path};

use super::Context;
use crate::cli;
use crate::error::{CliError, Code};
use crate::text;

pub async fn get(context: &Context, options: &cli::Get) -> Result<Code, CliError> {
    let kind = options.kind.as_str();
    let path = format!("{}/{kind}/{}", path::DECLARATIONS, options.name);
    let step = format!("get {kind} {}", options.name);
    let stored: Stored = context.client.get(&step, &path).await?;
    text::print(context.output, &stored, |out| text::stored(out, &stored));
    Ok(Code::Done)
}

pub async fn list(context: &Context) -> Result<Code, CliError> {
    let list: Vec<Stored> = context.client.get("list", path::DECLARATIONS).await?;
    text::print(context.output, &list, |out| text::list(out, &list));
    Ok(Code::Done)
}

pub async fn status(context: &Context) -> Result<Code, CliError> {
    let status: Status = context.client.get("status", path::STATUS).await?;
    text::print(context.output, &status, |out| text::status(out, &status));
    Ok(match status.pending {
        Some(_) => Code::Differs,
        None => Code::Done,
    })
}

pub async fn report(context: &Context) -> Result<Code, CliError> {
    let report: Report = context.client.get("report", path::REPORT).await?;
    text::print(context.output, &report, |out| text::report(out, &report));
    Ok(Code::Done)
}

pub async fn audit(context: &Context) -> Result<Code, CliError> {
    let audit: Vec<AuditEntry> = context.client.get("audit", path::AUDIT).await?;
    text::print(context.output, &audit, |out| text::audit(out, &audit));
    Ok(Code::Done)
}
