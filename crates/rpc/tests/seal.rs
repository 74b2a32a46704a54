//! Sealed bodies.

use quickcheck::quickcheck;
use rpc::{Key, TAG_BYTES};

fn key(seed: u8) -> Key {
    Key::from([seed; 32])
}

#[test]
fn refuses_a_body_sent_to_another_path_or_for_another_request() {
    let sealed = key(1).seal("/v1/claim", b"request", b"body".to_vec());
    assert!(key(1).open("/v1/claim", b"request", &sealed).is_some());
    assert!(key(1).open("/v1/done", b"request", &sealed).is_none());
    assert!(key(1).open("/v1/claim", b"other", &sealed).is_none());
    assert!(key(2).open("/v1/claim", b"request", &sealed).is_none());
}

#[test]
fn shows_no_secret_in_logs() {
    assert_eq!(format!("{:?}", key(7)), "Key(..)");
}

#[test]
fn reads_only_whole_keys() {
    let folder = std::env::temp_dir().join(format!("rpc-key-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("key.hex");
    for (text, good) in [
        ("00".repeat(32) + "\n", true),
        ("00".repeat(31), false),
        ("zz".repeat(32), false),
    ] {
        std::fs::write(&file, text).unwrap();
        assert_eq!(Key::read(&file).is_ok(), good);
    }
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        Key::read(&file)
            .unwrap_err()
            .to_string()
            .contains("key.hex")
    );
}

quickcheck! {
    fn refuses_any_changed_byte(body: Vec<u8>, at: usize, flip: u8) -> bool {
        let mut sealed = key(1).seal("/p", &[], body.clone());
        let at = at % sealed.len();
        sealed[at] ^= flip;
        let opened = key(1).open("/p", &[], &sealed);
        (flip == 0) == opened.is_some_and(|(got, tag)| got == body && tag.len() == TAG_BYTES)
    }
}
