//! Positions in errors, and corrupted input.

use jsonc::{JsoncError, parse};
use quickcheck::quickcheck;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Item {
    size: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    items: Vec<Item>,
}

fn parse_error(text: &str) -> (usize, usize, String) {
    match parse::<File>("f.jsonc", text) {
        Err(JsoncError::Invalid {
            position, message, ..
        }) => (position.line, position.column, message.into()),
        other => panic!("accepted: {other:?}"),
    }
}

#[test]
fn accepts_comments_and_trailing_commas() {
    let file = parse::<File>("f", "{ // why\n \"items\": [ {\"size\": 1,}, ], }").unwrap();
    assert_eq!(file.value.items[0].size, 1);
    assert_eq!(file.position("items[0].size").line, 2);
}

#[test]
fn names_the_line_of_an_unknown_field() {
    let (line, _, message) = parse_error("{\n \"items\": [\n  {\"size\": 1, \"sise\": 2}\n ]\n}");
    assert_eq!(line, 3);
    assert!(message.contains("sise"), "{message}");
}

#[test]
fn names_the_line_of_a_wrong_type() {
    let (line, column, message) = parse_error("{\n \"items\": [\n  {\n   \"size\": \"big\"}]}");
    assert_eq!((line, column), (4, 4));
    assert!(message.contains("u32"), "{message}");
}

#[test]
fn rejects_a_duplicate_field() {
    let (line, _, message) = parse_error("{\"items\": [],\n\"items\": []}");
    assert_eq!(line, 2);
    assert!(message.contains("twice"), "{message}");
}

#[test]
fn rejects_input_that_would_exhaust_memory_or_stack() {
    assert!(parse::<File>("f", &"[".repeat(100_000)).is_err());
    assert!(parse::<File>("f", &" ".repeat(jsonc::MAX_FILE_BYTES + 1)).is_err());
    assert!(parse::<File>("f", "").is_err());
}

quickcheck! {
    fn never_panics_on_corrupted_text(length: usize, index: usize, byte: u8) -> bool {
        let mut text = b"{\"items\": [{\"size\": 1}, {\"size\": 2 /* c */}]}".to_vec();
        let len = text.len();
        text[index % len] = byte;
        text.truncate(length % (len + 1));
        let _ = parse::<File>("f", &String::from_utf8_lossy(&text));
        true
    }
}
