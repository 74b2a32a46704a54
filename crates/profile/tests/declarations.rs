//! Reading of declarations, and the errors that operators get for mistakes.

#![expect(clippy::unwrap_used, reason = "a failed setup ends the test")]

use std::path::Path;

use profile::{ChangeKind, Declaration, diff, read_folder};

const VALID: &str = r#"{
  // Storefront of the bakery.
  "profiles": [{
    "name": "web", "protocol": "http",
    "classes": [
      {"name": "board", "method": "GET", "path": "/board", "stream": true, "idempotent": true, "deadline_ms": 1000},
      {"name": "change", "method": "POST", "path": "/subscription", "tier": "critical", "short": true, "idempotent": false, "deadline_ms": 2000},
      {"name": "rest", "path": "/", "idempotent": false, "deadline_ms": 5000}
    ],
    "objectives": [{"class": "change", "latency_ms": 500, "share": 99.9}]
  }],
  "services": [{"name": "storefront", "tenant": "masa-viva", "profile": "web", "address": "10.9.0.1:80"}]
}"#;

fn read(text: &str) -> Result<Vec<Declaration>, String> {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("a.jsonc"), text).unwrap();
    read_folder(folder.path()).map_err(|e| e.to_string())
}

#[test]
fn reads_all_declarations_of_folder() {
    let list = read(VALID).unwrap();
    assert_eq!(
        list.iter().map(Declaration::name).collect::<Vec<_>>(),
        ["web", "storefront"]
    );
}

#[test]
fn reports_line_value_and_remedy_of_each_mistake() {
    let cases = [
        (
            "\"tier\": \"critical\"",
            "\"tear\": \"critical\"",
            ":7:",
            "tear",
        ),
        (
            "\"deadline_ms\": 2000",
            "\"deadline_ms\": 0",
            ":7:",
            "use 1 to",
        ),
        (
            "\"deadline_ms\": 2000",
            "\"deadline_ms\": 86400001",
            ":7:",
            "use 1 to",
        ),
        ("\"share\": 99.9", "\"share\": 100", ":10:", "less than 100"),
        ("\"share\": 99.9", "\"share\": 101", ":10:", "0 to 100"),
        (
            "\"class\": \"change\"",
            "\"class\": \"sign-off\"",
            ":10:",
            "sign-off",
        ),
        (
            "\"profile\": \"web\"",
            "\"profile\": \"wob\"",
            ":12:",
            "wob",
        ),
        ("10.9.0.1:80", "0.0.0.0:80", ":12:", "0.0.0.0"),
        ("10.9.0.1:80", "224.0.0.1:80", ":12:", "224.0.0.1"),
        (
            "\"protocol\": \"http\"",
            "\"protocol\": \"tcp\"",
            ":5:",
            "remove",
        ),
        (
            "\"path\": \"/subscription\"",
            "\"path\": \"subscription\"",
            ":7:",
            "start with",
        ),
        (
            "\"method\": \"POST\"",
            "\"method\": \"post\"",
            ":7:",
            "upper-case",
        ),
        ("\"name\": \"rest\"", "\"name\": \"board\"", ":8:", "twice"),
        ("\"path\": \"/board\"", "\"path\": \"/\"", ":6:", ""),
        (
            "\"protocol\": \"http\"",
            "\"protocol\": \"http\", \"drain\": {\"stop_ms\": 3001}",
            ":4:",
            "3001",
        ),
        (
            "\"protocol\": \"http\"",
            "\"protocol\": \"http\", \"retry\": {\"budget\": 21}",
            ":4:",
            "at most 20",
        ),
        (
            "\"protocol\": \"http\"",
            "\"protocol\": \"http\", \"keys\": {\"window_ms\": 1000}",
            ":4:",
            "60000",
        ),
        (
            "\"protocol\": \"http\"",
            "\"protocol\": \"http\", \"concurrency\": {\"queue\": 65537}",
            ":4:",
            "65536",
        ),
    ];
    for (from, to, line, word) in cases {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID);
        let result = read(&text);
        if to.contains("\"path\": \"/\"") {
            // A class with path "/" makes only later classes of the same method unreachable.
            assert!(result.is_ok(), "{result:?}");
            continue;
        }
        let message = result.unwrap_err();
        assert!(
            message.contains("a.jsonc") && message.contains(line) && message.contains(word),
            "{to}: {message}"
        );
    }
}

#[test]
fn rejects_unreachable_class() {
    let text = VALID.replacen(
        "\"method\": \"GET\", \"path\": \"/board\"",
        "\"path\": \"/\"",
        1,
    );
    assert!(read(&text).unwrap_err().contains("never reached"));
}

#[test]
fn rejects_one_address_for_two_tenants() {
    let other =
        r#"{"name": "other", "tenant": "rival", "profile": "web", "address": "10.9.0.1:80"}"#;
    let text = VALID.replacen("\"services\": [", &format!("\"services\": [{other}, "), 1);
    assert!(
        read(&text)
            .unwrap_err()
            .contains("address of service other")
    );
}

#[test]
fn rejects_folder_without_declarations() {
    let folder = tempfile::tempdir().unwrap();
    assert!(
        read_folder(folder.path())
            .unwrap_err()
            .to_string()
            .contains("no *.jsonc")
    );
    assert!(
        read_folder(Path::new("/nowhere"))
            .unwrap_err()
            .to_string()
            .contains("cannot list")
    );
}

#[test]
fn orders_changes_by_dependency() {
    let accepted = read(VALID).unwrap();
    let text = VALID.replace("\"web\"", "\"web2\"").replace("2000", "2500");
    let changes = diff(&accepted, &read(&text).unwrap());
    let order: Vec<_> = changes.iter().map(|c| (c.change, &*c.name)).collect();
    let expected = [
        (ChangeKind::Create, "web2"),
        (ChangeKind::Change, "storefront"),
        (ChangeKind::Retire, "web"),
    ];
    assert_eq!(order, expected);
    assert_eq!(&*changes[1].fields[0], "profile: \"web\" -> \"web2\"");
    assert!(diff(&accepted, &accepted).is_empty());
}
