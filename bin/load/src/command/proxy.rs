//! `load proxy`; each line of standard input is a plan that replaces the one in force.

use std::process::ExitCode;

use faults::{Plan, PlanError, Stats, TcpProxy, UdpProxy};
use startup::{LogSettings, logger};
use tokio::io::{AsyncBufReadExt, BufReader};

use super::until_stopped;
use crate::error::LoadError;

enum Either {
    Udp(UdpProxy),
    Tcp(TcpProxy),
}

impl Either {
    fn set(&self, plan: Plan) -> Result<(), PlanError> {
        match self {
            Self::Udp(proxy) => proxy.set(plan),
            Self::Tcp(proxy) => proxy.set(plan),
        }
    }

    fn stats(&self) -> Stats {
        match self {
            Self::Udp(proxy) => proxy.stats(),
            Self::Tcp(proxy) => proxy.stats(),
        }
    }
}

fn parse(text: &str) -> Result<Plan, LoadError> {
    let error = |message: String| LoadError::Usage {
        what: "plan".into(),
        message: message.into(),
    };
    let plan: Plan = serde_json::from_str(text).map_err(|e| error(e.to_string()))?;
    plan.check().map_err(|e| error(e.to_string()))?;
    Ok(plan)
}

pub(super) async fn run(flags: crate::cli::Proxy) -> Result<ExitCode, LoadError> {
    let plan = flags.plan.as_deref().map(parse).transpose()?;
    let plan = plan.unwrap_or_default();
    let seed = flags.seed.unwrap_or(1);
    let start = LoadError::io("listen");
    let proxy = if flags.tcp {
        let proxy = TcpProxy::start(flags.listen, flags.target, plan, seed).await;
        Either::Tcp(proxy.map_err(start)?)
    } else {
        let proxy = UdpProxy::start(flags.listen, flags.target, plan, seed).await;
        Either::Udp(proxy.map_err(start)?)
    };
    let (log, _flush) = logger(&LogSettings::default(), "load proxy", "proxy");
    slog::info!(log, "ready"; "listen" => %flags.listen, "target" => %flags.target);
    let lines = async {
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let set = parse(&line).and_then(|plan| {
                proxy.set(plan).map_err(|e| LoadError::Usage {
                    what: "plan".into(),
                    message: e.to_string().into(),
                })
            });
            if let Err(e) = set {
                slog::warn!(log, "line ignored"; "error" => %e);
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = lines => {}
        stopped = until_stopped(flags.seconds) => stopped?,
    }
    let stats = proxy.stats();
    println!("{}", serde_json::to_string(&stats).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}
