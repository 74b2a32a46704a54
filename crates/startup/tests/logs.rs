//! Log writer with slow or closed readers.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum run time: one second of records, then the flush of the queue.
const RUN_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the program that writes records for one second.
fn start_writer() -> Child {
    let test = std::env::current_exe().unwrap();
    let folder = test.parent().unwrap().parent().unwrap().to_owned();
    let program: PathBuf = folder.join("examples/chatter");
    Command::new(program)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn wait(child: &mut Child) -> bool {
    let start = Instant::now();
    while start.elapsed() < RUN_TIMEOUT {
        if let Some(status) = child.try_wait().unwrap() {
            return status.success();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.kill().unwrap();
    panic!("the process blocks on its reader");
}

/// Number of records written, as reported by the program.
fn record_count(child: &mut Child) -> u64 {
    let mut text = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    text.trim().parse().unwrap()
}

/// Guards against a process that blocks on the reader of its log, while it runs or at exit.
#[test]
fn unread_log_does_not_block_the_process() {
    let mut child = start_writer();
    assert!(wait(&mut child));
    // Far more than the pipe and the queue hold, so the writer was blocked most of the time.
    assert!(record_count(&mut child) > 10_000);
}

/// Guards against a process that exits because its log can no longer be written.
#[test]
fn closed_reader_does_not_end_the_process() {
    let mut child = start_writer();
    drop(child.stdout.take());
    assert!(wait(&mut child));
}

/// Guards against records that are lost at a normal exit, truncated, or dropped without being
/// counted.
#[test]
fn dropped_records_are_counted() {
    let mut child = start_writer();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let (mut read, mut dropped) = (0, 0);
    for line in lines {
        let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        if line["msg"]
            .as_str()
            .unwrap()
            .contains("log records dropped")
        {
            dropped += line["count"].as_u64().unwrap();
        } else if line["msg"] != "starting" {
            assert_eq!(line["node"], "here");
            read += 1;
        }
    }
    assert!(wait(&mut child));
    assert_eq!(read + dropped, record_count(&mut child));
}
