//! Tests of the store format with torn, corrupt, copied, newer and arbitrary bytes.

use cometspool_replicated_log::{
    decode, encode, encode_header, Command, Entry, LogRecord, ReplicaId, StoreError, StoreHeader,
};
use proptest::prelude::*;

fn header() -> StoreHeader {
    StoreHeader {
        replica: ReplicaId {
            name: "r0".to_owned(),
            incarnation: 7,
        },
        file_tag: "here".to_owned(),
    }
}

fn write(sequence: u64) -> Entry {
    Entry::Write(Command {
        session: 1,
        sequence,
        answered_below: 0,
        payload: vec![0xa5; 40],
    })
}

/// An encoded store, and the offset of each of its frames.
struct Store {
    bytes: Vec<u8>,
    frame_starts: Vec<usize>,
}

fn store(frames: u64) -> Store {
    let mut bytes = encode_header(&header());
    let mut frame_starts = Vec::new();
    for number in 0..frames {
        frame_starts.push(bytes.len());
        bytes.extend(encode(&[
            LogRecord::Entries {
                from: number,
                entries: vec![write(number)],
            },
            LogRecord::Decided(number),
        ]));
    }
    Store {
        bytes,
        frame_starts,
    }
}

/// Guards against confusing a crash with a broken disk: after a cut at any byte the frames before
/// it can be read, and a changed byte anywhere is always detected as corruption.
#[test]
fn a_cut_leaves_the_frames_before_it_and_a_changed_byte_is_corruption() {
    let Store {
        bytes,
        frame_starts,
    } = store(6);
    for end in frame_starts[0]..bytes.len() {
        let loaded = decode(&bytes[..end], "here").expect("a truncated store can be decoded");
        let complete = frame_starts
            .iter()
            .copied()
            .filter(|start| *start <= end)
            .max()
            .unwrap_or_default();
        assert_eq!(
            (loaded.valid_length, loaded.is_torn),
            (complete, complete < end),
            "cut at {end}"
        );
    }
    for offset in 0..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[offset] ^= 0x10;
        assert!(
            decode(&bytes, "here").is_err(),
            "change of byte {offset} was not detected"
        );
    }
}

/// Guards against the use of a copied file or of a newer format, and against the rejection of a
/// store with allocated space that a crash left unwritten.
#[test]
fn copies_and_newer_formats_are_rejected_and_unwritten_space_is_cut() {
    let mut bytes = store(2).bytes;
    let complete = bytes.len();
    assert_eq!(decode(&bytes, "elsewhere").err(), Some(StoreError::Copied));
    let mut newer = bytes.clone();
    newer[5] = 9;
    let error = decode(&newer, "here").err();
    assert_eq!(error, Some(StoreError::UnsupportedVersion(9)));
    assert!(error.is_some_and(|error| error.to_string().contains("format 9")));
    bytes.extend([0; 300]);
    let loaded = decode(&bytes, "here").expect("unwritten space is not corruption");
    assert_eq!((loaded.valid_length, loaded.is_torn), (complete, true));
}

proptest! {
    /// Guards against a panic on arbitrary file contents, with and without a valid header.
    #[test]
    fn arbitrary_bytes_are_rejected_or_cut(
        rest in prop::collection::vec(any::<u8>(), 0..400), has_header in any::<bool>()
    ) {
        let mut bytes = if has_header { encode_header(&header()) } else { Vec::new() };
        let start = bytes.len();
        bytes.extend(&rest);
        if let Ok(loaded) = decode(&bytes, "here") {
            prop_assert!(loaded.valid_length >= start && loaded.valid_length <= bytes.len());
        }
    }
}
