//! Unit tests of `frame.rs`.

use super::*;
use proptest::prelude::*;
use serde::Deserialize;

fn codec() -> FrameCodec {
    FrameCodec::new("fleet", 7, 1000)
}

fn decoded(bytes: &[u8]) -> Result<Option<Frame>, FrameError> {
    codec()
        .decode(&mut BytesMut::from(bytes))
        .map_err(|error| match error {
            ConnectionError::Frame(error) => error,
            ConnectionError::Io(error) => panic!("{error}"),
        })
}

/// Guards the checks of the header: each is made on the header alone, before the body is received.
#[test]
fn foreign_frames_are_rejected_by_their_header_alone() {
    let header_of = |codec: FrameCodec, body: usize| {
        codec
            .encode(FrameKind::AntiEntropy, &vec![0; body])
            .expect("it fits")[..HEADER_LENGTH]
            .to_vec()
    };
    let newer = codec().encode_as(VERSION + 2, 1, &[1; 9]).expect("it fits");
    let cases = [
        (
            b"GET / HTTP/1.1\r\nHost: somebody\r\n".to_vec(),
            FrameError::Malformed,
        ),
        (
            newer[..HEADER_LENGTH].to_vec(),
            FrameError::Version(VERSION + 2),
        ),
        (
            header_of(FrameCodec::new("another", 7, 1000), 9),
            FrameError::Fleet,
        ),
        (
            header_of(FrameCodec::new("fleet", 6, 1000), 9),
            FrameError::Epoch(6),
        ),
        (
            header_of(FrameCodec::new("fleet", 7, 2000), 1001),
            FrameError::TooLong(1001),
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(decoded(&bytes), Err(expected));
    }
    let mut damaged = codec()
        .encode(FrameKind::Heartbeat, b"body")
        .expect("it fits")
        .to_vec();
    assert_eq!(
        decoded(&damaged)
            .expect("a frame")
            .expect("a complete one")
            .body(),
        b"body"
    );
    damaged[HEADER_LENGTH] ^= 1;
    assert_eq!(decoded(&damaged), Err(FrameError::Checksum));
    assert_eq!(codec().encode(FrameKind::Heartbeat, &[0; 1001]), None);
}

/// Guards the compatibility of versions, by the rule in the documentation of the module.
#[test]
fn frames_of_the_next_and_the_previous_version_are_decoded() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct Previous(String, u32);
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct Current(String, u32, Option<String>, u64);
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct Next(String, u32, Option<String>, u64, Vec<u8>);
    let decode = |version: u16, body: Vec<u8>| {
        let bytes = codec().encode_as(version, 1, &body).expect("it fits");
        decoded(&bytes)
            .expect("a frame of this fleet")
            .expect("a complete frame")
            .decode_body::<Current>()
    };
    let current = |text: Option<&str>, number| {
        Some(Current("a".into(), 300, text.map(str::to_owned), number))
    };
    assert_eq!(
        decode(
            VERSION,
            encode_body(&Current("a".into(), 300, Some("b".into()), 5))
        ),
        current(Some("b"), 5)
    );
    assert_eq!(
        decode(VERSION - 1, encode_body(&Previous("a".into(), 300))),
        current(None, 0)
    );
    assert_eq!(
        decode(
            VERSION + 1,
            encode_body(&Next("a".into(), 300, Some("b".into()), 5, vec![9; 70]))
        ),
        current(Some("b"), 5)
    );
    // Between gateways of the same version, no field may be missing or left over.
    assert_eq!(
        decode(
            VERSION,
            encode_body(&Next("a".into(), 300, None, 5, vec![9; 70]))
        ),
        None
    );
    assert_eq!(
        decode(VERSION, encode_body(&Previous("a".into(), 300))),
        None
    );
    let unknown = codec().encode_as(VERSION + 1, 999, b"?").expect("it fits");
    assert_eq!(
        decoded(&unknown)
            .expect("a frame of this fleet")
            .expect("a complete frame")
            .kind,
        None
    );
}

proptest! {
    /// Guards the decoder against arbitrary bytes: they decode to a frame or to an error.
    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200), valid in any::<bool>()) {
        let mut stream = BytesMut::new();
        if valid {
            stream.extend_from_slice(&codec().encode(FrameKind::Heartbeat, &bytes).expect("it fits"));
            let frame = codec().decode(&mut stream).expect("a frame of this fleet").expect("a complete frame");
            prop_assert_eq!(frame.body(), &bytes[..]);
        } else {
            stream.extend_from_slice(&bytes);
            if let Ok(found) = codec().decode(&mut stream) {
                prop_assert!(found.is_none() && bytes.len() < HEADER_LENGTH);
            }
            let _ = codec().decode_datagram(&bytes);
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards the bytes of a frame, because gateways of two versions run side by side. The body begins
/// after the checksum.
#[test]
fn a_frame_keeps_its_bytes_for_every_kind() {
    let cases: [(FrameKind, &[u8], &str); 4] = [
        (
            FrameKind::Hello,
            b"hello",
            "43530001000100007e01834b0000000700000005d6582a1e68656c6c6f",
        ),
        (
            FrameKind::Heartbeat,
            b"",
            "43530001000200007e01834b00000007000000002fa53200",
        ),
        (
            FrameKind::Gossip,
            &[0, 1, 254, 255],
            "43530001001000007e01834b0000000700000004ac6103410001feff",
        ),
        (
            FrameKind::AntiEntropy,
            b"compare",
            "43530001001100007e01834b00000007000000070421cfca636f6d70617265",
        ),
    ];
    for (kind, body, expected) in cases {
        let bytes = codec().encode(kind, body).expect("it fits");
        assert_eq!(hex(&bytes), expected, "{kind:?}");
        let frame = decoded(&bytes)
            .expect("a frame of this fleet")
            .expect("a complete frame");
        assert_eq!((frame.version, frame.kind), (1, Some(kind)));
        assert_eq!(frame.body(), body);
        assert_eq!(codec().decode_datagram(&bytes), Ok(frame));
    }
    let other = FrameCodec::new("symud", 0xdead_beef, 1000);
    let bytes = other.encode_as(2, 999, b"?").expect("it fits");
    assert_eq!(
        hex(&bytes),
        "4353000203e7000071be11d9deadbeef0000000133df86ac3f"
    );
}

/// Guards the bytes of a body: it is the postcard encoding of a value and nothing more, or the
/// sender's bytes unchanged.
#[test]
fn a_body_keeps_its_bytes() {
    let body = encode_body(&("n1", 300u64, Some(-2i32), vec![1u8, 2]));
    assert_eq!(hex(&body), "026e31ac020103020102");
    let bytes = codec()
        .encode(FrameKind::AntiEntropy, &body)
        .expect("it fits");
    assert_eq!(&bytes[HEADER_LENGTH..], &body[..]);
}
