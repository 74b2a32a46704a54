//! The commands.

mod change;
mod check;
mod folder;
mod read;
mod trace;

pub use trace::Report as TraceReport;

use std::net::SocketAddr;
use std::time::Duration;

use crate::cli::{Jacinthsill, JacinthsillCmd, Output};
use crate::client::Client;
use crate::error::{CliError, Code};
use crate::time;

/// Environment variable with the control replicas.
const CONTROL: &str = "JACINTHSILL_CONTROL";

/// Environment variable with the author of changes.
const AUTHOR: &str = "JACINTHSILL_AUTHOR";

/// Seconds until an unanswered request is given up.
const TIMEOUT: u64 = 15;

/// Longest accepted time in seconds.
const MAX_SECONDS: u64 = 3_600;

/// What every command that talks to control needs.
#[derive(Debug)]
pub struct Context {
    client: Client,
    output: Output,
    author: Box<str>,
}

/// Runs the command.
///
/// # Errors
/// See [`CliError`].
pub fn run(options: &Jacinthsill) -> Result<Code, CliError> {
    let output = options.output.unwrap_or_default();
    match &options.subcommand {
        JacinthsillCmd::Check(check) => return check::check(output, check),
        JacinthsillCmd::Trace(options) => return trace::run(output, options),
        _ => {}
    }
    let context = Context {
        client: Client::new(control(options)?, limit(options)?)?,
        output,
        author: author(options),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::Local(e.to_string().into()))?;
    runtime.block_on(dispatch(&context, &options.subcommand))
}

async fn dispatch(context: &Context, command: &JacinthsillCmd) -> Result<Code, CliError> {
    match command {
        JacinthsillCmd::Check(check) => check::check(context.output, check),
        JacinthsillCmd::Plan(plan) => folder::plan(context, plan).await,
        JacinthsillCmd::Apply(apply) => folder::apply(context, apply).await,
        JacinthsillCmd::Get(get) => read::get(context, get).await,
        JacinthsillCmd::List(_) => read::list(context).await,
        JacinthsillCmd::Retire(retire) => change::retire(context, retire).await,
        JacinthsillCmd::Announce(announce) => change::announce(context, announce).await,
        JacinthsillCmd::Status(_) => read::status(context).await,
        JacinthsillCmd::Report(_) => read::report(context).await,
        JacinthsillCmd::Audit(_) => read::audit(context).await,
        JacinthsillCmd::Trace(options) => trace::run(context.output, options),
    }
}

fn control(options: &Jacinthsill) -> Result<Vec<SocketAddr>, CliError> {
    let text = options
        .control
        .clone()
        .or_else(|| std::env::var(CONTROL).ok());
    let Some(text) = text else {
        let message = format!("name the control replicas with --control or {CONTROL}");
        return Err(CliError::Usage(message.into()));
    };
    let parse = |part: &str| {
        let message = || format!("{part:?} is not a control address; use ip:port");
        let address = part.trim().parse();
        address.map_err(|_| CliError::Usage(message().into()))
    };
    text.split(',').map(parse).collect()
}

fn limit(options: &Jacinthsill) -> Result<Duration, CliError> {
    seconds("--timeout", options.timeout.unwrap_or(TIMEOUT), 1)
}

/// Checks a number of seconds.
fn seconds(flag: &str, value: u64, least: u64) -> Result<Duration, CliError> {
    if (least..=MAX_SECONDS).contains(&value) {
        return Ok(Duration::from_secs(value));
    }
    let message = format!("{flag} {value} is out of range; use {least} to {MAX_SECONDS} seconds");
    Err(CliError::Usage(message.into()))
}

fn author(options: &Jacinthsill) -> Box<str> {
    let variable = |name| std::env::var(name).ok().filter(|text| !text.is_empty());
    let named = options.author.clone();
    let named = named
        .or_else(|| variable(AUTHOR))
        .or_else(|| variable("USER"));
    named.unwrap_or_else(|| "operator".into()).into()
}

/// Key of one change; unique, and dated so that control can forget it.
fn new_key() -> String {
    format!("{}-{:016x}", time::now(), rand::random::<u64>())
}
