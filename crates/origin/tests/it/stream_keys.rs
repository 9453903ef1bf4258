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

/// Guards against an organisation that steers the stream of another one by a record of its own.
#[test]
fn other_target() {
    let of = |path, body: &[u8]| StreamKey::of(Fingerprint::of("POST", path, body), "a1");
    let own = of("council /report/a", b"hello");
    assert_ne!(own, of("council /report/b", b"hello"));
    assert_ne!(own, of("council /report/a", b"hell"));
    assert_eq!(own, of("council /report/a", b"hello"));
}
