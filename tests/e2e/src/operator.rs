//! Operators: the command line and the operators' interface of control.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use api::{AuditEntry, PutReply, PutRequest, Status, Stored};
use profile::Declaration;
use reqwest::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use units::Version;

use crate::process::programs;

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Exit code.
    pub code: i32,
    /// Standard output, then standard error.
    pub text: String,
}

/// Answer to one attempt at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Status and body.
    Status(u16, Vec<u8>),
    /// Surely not delivered.
    Undelivered,
    /// Sent without an answer.
    Lost,
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Status(status, body) => {
                write!(f, "status {status}: {}", String::from_utf8_lossy(body))
            }
            other => write!(f, "{other:?}"),
        }
    }
}

/// An operator of a deployment.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Control replicas.
    pub control: Vec<SocketAddr>,
    http: reqwest::Client,
}

impl Operator {
    /// Operator who knows these replicas.
    ///
    /// # Panics
    /// When the HTTP client can't be set up.
    #[must_use]
    pub fn new(control: Vec<SocketAddr>) -> Self {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_millis(500))
            .timeout(Duration::from_secs(2))
            .build();
        Self {
            control,
            http: http.expect("the client needs nothing"),
        }
    }

    /// Runs `jacinthsill` with these arguments.
    ///
    /// # Panics
    /// When the program can't be started.
    pub async fn run(&self, args: &[&str]) -> Done {
        let control: Vec<_> = self.control.iter().map(ToString::to_string).collect();
        let output = tokio::process::Command::new(programs().join("jacinthsill"))
            .arg("--control")
            .arg(control.join(","))
            .args(["--author", "test", "--output", "json"])
            .args(args)
            .stdin(Stdio::null())
            .output()
            .await
            .expect("the command line can be started");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Done {
            code: output.status.code().unwrap_or(-1),
            text,
        }
    }

    /// Applies a folder and waits until it is in force.
    ///
    /// # Panics
    /// When it is not within the limit.
    pub async fn apply(&self, folder: &Path, limit: Duration) -> Duration {
        let begin = Instant::now();
        let folder = folder.display().to_string();
        let seconds = limit.as_secs().max(1).to_string();
        let done = self.run(&["apply", &folder, "--wait", &seconds]).await;
        assert_eq!(done.code, 0, "apply: {}", done.text);
        begin.elapsed()
    }

    /// Announces a planned change of ten minutes that starts now.
    ///
    /// # Panics
    /// When control does not accept it.
    pub async fn announce(&self, kind: &str, host: &str) {
        let args = ["announce", kind, host, "--start", "now", "--end", "+10m"];
        let done = self.run(&args).await;
        assert_eq!(done.code, 0, "announce: {}", done.text);
    }

    /// State of the system.
    pub async fn status(&self) -> Option<Status> {
        self.read("/v1/status").await
    }

    /// Audit record.
    pub async fn audit(&self) -> Option<Vec<AuditEntry>> {
        self.read("/v1/audit").await
    }

    /// One declaration.
    pub async fn stored(&self, kind: &str, name: &str) -> Option<Stored> {
        self.read(&format!("/v1/declarations/{kind}/{name}")).await
    }

    /// Reads from whichever replica leads.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        for peer in &self.control {
            let answer = self.call(*peer, Method::GET, path, &()).await;
            if let Answer::Status(200, body) = answer {
                return serde_json::from_slice(&body).ok();
            }
        }
        None
    }

    /// Sends a change to one replica, once.
    pub async fn put(
        &self,
        peer: SocketAddr,
        body: Declaration,
        expected: Version,
        key: &str,
    ) -> (Answer, Option<PutReply>) {
        let path = format!("/v1/declarations/{}/{}", body.kind(), body.name());
        let request = PutRequest {
            expected,
            key: key.into(),
            author: "test".into(),
            body,
        };
        let answer = self.call(peer, Method::PUT, &path, &request).await;
        let reply = match &answer {
            Answer::Status(200 | 201, body) => serde_json::from_slice(body).ok(),
            _ => None,
        };
        (answer, reply)
    }

    /// One attempt at one replica.
    pub async fn call(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        body: &impl Serialize,
    ) -> Answer {
        let url = format!("http://{peer}{path}");
        let mut request = self.http.request(method.clone(), url);
        if method != Method::GET {
            let body = serde_json::to_vec(body).unwrap_or_default();
            request = request
                .header("content-type", "application/json")
                .body(body);
        }
        match request.send().await {
            Ok(answer) => {
                let status = answer.status().as_u16();
                match answer.bytes().await {
                    Ok(body) => Answer::Status(status, body.to_vec()),
                    Err(_) => Answer::Lost,
                }
            }
            Err(e) if e.is_connect() => Answer::Undelivered,
            Err(_) => Answer::Lost,
        }
    }
}
