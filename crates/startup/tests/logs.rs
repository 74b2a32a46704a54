//! The log writer in front of readers that are slow or gone.

#![expect(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest run: a second of records, and the time in which the queue may be written.
const LIMIT: Duration = Duration::from_secs(10);

/// Program that writes records for a second.
fn start() -> Child {
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
    while start.elapsed() < LIMIT {
        if let Some(status) = child.try_wait().unwrap() {
            return status.success();
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    child.kill().unwrap();
    panic!("it waits for a reader");
}

/// Records written, as the program counts them.
fn records(child: &mut Child) -> u64 {
    let mut text = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    text.trim().parse().unwrap()
}

/// Guards against a process that waits for whoever reads its log, while it works or at its end.
#[test]
fn nobody_has_to_read() {
    let mut child = start();
    assert!(wait(&mut child));
    // Far more than pipe and queue hold, so that the writer was stuck for most of the time.
    assert!(records(&mut child) > 10_000);
}

/// Guards against a process that ends because its log can't be written any more.
#[test]
fn a_reader_may_go_away() {
    let mut child = start();
    drop(child.stdout.take());
    assert!(wait(&mut child));
}

/// Guards against records that are lost at an orderly end, cut in the middle, or left out untold.
#[test]
fn what_is_left_out_is_counted() {
    let mut child = start();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let (mut read, mut omitted) = (0, 0);
    for line in lines {
        let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        if line["msg"].as_str().unwrap().contains("left out") {
            omitted += line["count"].as_u64().unwrap();
        } else if line["msg"] != "starting" {
            assert_eq!(line["node"], "here");
            read += 1;
        }
    }
    assert!(wait(&mut child));
    assert_eq!(read + omitted, records(&mut child));
}
