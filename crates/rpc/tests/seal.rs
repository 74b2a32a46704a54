//! Authentication tags of bodies, and key files.

use quickcheck::quickcheck;
use rpc::{Key, TAG_BYTES};

fn key(seed: u8) -> Key {
    Key::from([seed; 32])
}

#[test]
fn refuses_a_body_sent_to_another_path_or_for_another_request() {
    let signed = key(1).sign_body("/v1/claim", b"request", b"body".to_vec());
    assert!(
        key(1)
            .verify_body("/v1/claim", b"request", &signed)
            .is_some()
    );
    assert!(
        key(1)
            .verify_body("/v1/done", b"request", &signed)
            .is_none()
    );
    assert!(key(1).verify_body("/v1/claim", b"other", &signed).is_none());
    assert!(
        key(2)
            .verify_body("/v1/claim", b"request", &signed)
            .is_none()
    );
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
        let mut signed = key(1).sign_body("/p", &[], body.clone());
        let at = at % signed.len();
        signed[at] ^= flip;
        let verified = key(1).verify_body("/p", &[], &signed);
        (flip == 0) == verified.is_some_and(|(got, tag)| got == body && tag.len() == TAG_BYTES)
    }
}
