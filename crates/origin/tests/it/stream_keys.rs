//! Keys of streams.

use lentil_core::Fingerprint;
use lentil_origin::StreamKey;

/// Guards against a key that is read back as another one.
#[test]
fn written_and_read() {
    let request = Fingerprint::of("POST", "council /report/a", b"hello");
    let key = StreamKey::of(request, "a1");
    assert_eq!(key.to_string().parse(), Ok(key));
    assert_eq!(StreamKey::from_bytes(key.to_bytes()), key);
    assert!("+f".repeat(16).parse::<StreamKey>().is_err());
}

/// Guards against an organisation that finds the record of another one by naming its attempt.
#[test]
fn other_organisation() {
    let key = |caller| {
        let request = Fingerprint::of("POST", &format!("{caller} /report/a"), b"hello");
        StreamKey::of(request, "a1")
    };
    assert_ne!(key("council"), key("harbour"));
}
