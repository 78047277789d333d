//! The format of a store: torn, damaged, copied, newer, and arbitrary bytes.

use cometspool_replicated_log::{decode, encode, head, Command, Damage, Entry, Id, Kept, Note};
use proptest::prelude::*;

fn kept() -> Kept {
    Kept {
        id: Id {
            name: "k0".to_owned(),
            life: 7,
        },
        file: "here".to_owned(),
    }
}

fn write(number: u64) -> Entry {
    Entry::Write(Command {
        session: 1,
        number,
        below: 0,
        bytes: vec![0xa5; 40],
    })
}

/// A store of so many frames, and where each begins.
fn store(frames: u64) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut starts) = (head(&kept()), Vec::new());
    for number in 0..frames {
        starts.push(bytes.len());
        bytes.extend(encode(&[
            Note::Entries(number, vec![write(number)]),
            Note::Decided(number),
        ]));
    }
    (bytes, starts)
}

/// Guards what a crash leaves against what a disk breaks: a cut anywhere leaves the frames before it, and a changed byte
/// anywhere is never taken for anything else than damage.
#[test]
fn a_cut_leaves_the_frames_before_it_and_a_changed_byte_is_damage() {
    let (bytes, starts) = store(6);
    for end in starts[0]..bytes.len() {
        let found = decode(&bytes[..end], "here").expect("a cut store is a store");
        let whole = starts
            .iter()
            .copied()
            .filter(|start| *start <= end)
            .max()
            .unwrap_or_default();
        assert_eq!(
            (found.sound, found.torn),
            (whole, whole < end),
            "cut at {end}"
        );
    }
    for place in 0..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[place] ^= 0x10;
        assert!(decode(&bytes, "here").is_err(), "byte {place} changed");
    }
}

/// Guards the identity of a file, its version, and room that a crash left without bytes.
#[test]
fn copies_and_newer_formats_are_refused_and_empty_room_is_cut() {
    let (mut bytes, _) = store(2);
    let whole = bytes.len();
    assert_eq!(decode(&bytes, "elsewhere").err(), Some(Damage::Copy));
    let mut newer = bytes.clone();
    newer[5] = 9;
    assert_eq!(decode(&newer, "here").err(), Some(Damage::Newer(9)));
    assert!(decode(&newer, "here")
        .err()
        .is_some_and(|why| why.to_string().contains("format 9")));
    bytes.extend([0; 300]);
    let found = decode(&bytes, "here").expect("room without bytes is no damage");
    assert_eq!((found.sound, found.torn), (whole, true));
}

proptest! {
    /// Guards against a panic on whatever stands in a file, behind a head that is right or not.
    #[test]
    fn arbitrary_bytes_are_refused_or_cut(
        rest in prop::collection::vec(any::<u8>(), 0..400), headed in any::<bool>()
    ) {
        let mut bytes = if headed { head(&kept()) } else { Vec::new() };
        let start = bytes.len();
        bytes.extend(&rest);
        if let Ok(found) = decode(&bytes, "here") {
            prop_assert!(found.sound >= start && found.sound <= bytes.len());
        }
    }
}
