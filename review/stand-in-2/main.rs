//! Runs a case of the review: `cases CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod config_lag;
mod host;
mod packet;
mod platform;
mod rules;
mod support;

use std::process::ExitCode;

use support::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let Ok(record) = Record::create(record.as_ref()) else {
        return ExitCode::from(2);
    };
    let result = match case.as_str() {
        "config-lag" => config_lag::run(&record, !is_calm),
        _ => Err("no such case".into()),
    };
    let (text, code) = match result {
        Ok(0) => ("the rule held".to_owned(), 0),
        Ok(count) => (format!("the rule was broken {count} times"), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
