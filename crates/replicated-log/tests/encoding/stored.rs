//! Encodings of stored types: entries, log records, the header of a store, and snapshots.

use crate::fixtures::{
    ballot, check, command, configuration, encoded, hex, leader_term, position, replica_id,
    stop_sign,
};
use cometspool_replicated_log::simulation::AppendList;
use cometspool_replicated_log::{
    encode, encode_header, Checkpoint, Command, Entry, LogRecord, ReplicatedState, StoreHeader,
};

const ENTRIES: &[(&str, &str)] = &[
    ("identity", "026b31bd05"),
    ("configuration", "0503026b31bd05026b32be05026b33bf05"),
    ("position", "05ac02"),
    ("leader term", "050902"),
    ("command", "0b0c0a03a55aff"),
    ("entry 0", "004d"),
    ("entry 1", "010b0c0a03a55aff"),
    ("entry 2", "02050902"),
    ("entry 3", "03050902e807"),
];

#[test]
fn entries_and_identities_keep_their_bytes() {
    let actual = [
        ("identity", encoded(&replica_id(1))),
        ("configuration", encoded(&configuration())),
        ("position", encoded(&position())),
        ("leader term", encoded(&leader_term())),
        ("command", encoded(&command())),
        ("entry 0", encoded(&Entry::OpenSession { nonce: 77 })),
        ("entry 1", encoded(&Entry::Write(command()))),
        ("entry 2", encoded(&Entry::LeaderElected(leader_term()))),
        (
            "entry 3",
            encoded(&Entry::AdvanceTime {
                term: leader_term(),
                elapsed_ms: 1000,
            }),
        ),
    ];
    check(&actual, ENTRIES);
}

const LOG_RECORDS: &[(&str, &str)] = &[
    (
        "header",
        "4353524543010a0000001807ac1b672dbae9026b31bd050468657265",
    ),
    (
        "record 0",
        "001f0503026b31bd05026b32be05026b33bf0505ac0203010203",
    ),
    ("record 1", "0104"),
    ("record 2", "0205090402"),
    ("record 3", "0305090402"),
    ("record 4", "04ae02"),
    ("record 5", "05ab0202004d010b0c0a03a55aff"),
    ("record 6", "06010603010203000102c0ff"),
    ("record 6, none", "0600"),
    ("frame of two", "08000000f8aa4220737ea21a0201040205090402"),
];

#[test]
fn log_records_and_the_store_header_keep_their_bytes() {
    let header = StoreHeader {
        replica: replica_id(1),
        file_tag: "here".to_owned(),
    };
    let records = [
        LogRecord::Checkpoint(Checkpoint {
            log_id: 31,
            configuration: configuration(),
            position: position(),
            state: vec![1, 2, 3],
        }),
        LogRecord::Started(4),
        LogRecord::HighestBallot(ballot()),
        LogRecord::AcceptedBallot(ballot()),
        LogRecord::Decided(302),
        LogRecord::Entries {
            from: 299,
            entries: vec![Entry::OpenSession { nonce: 77 }, Entry::Write(command())],
        },
        LogRecord::StopSign(Some(stop_sign())),
        LogRecord::StopSign(None),
    ];
    let mut actual = vec![("header", hex(&encode_header(&header)))];
    for (name, record) in [
        "record 0",
        "record 1",
        "record 2",
        "record 3",
        "record 4",
        "record 5",
        "record 6",
        "record 6, none",
    ]
    .into_iter()
    .zip(&records)
    {
        actual.push((name, encoded(record)));
    }
    actual.push(("frame of two", hex(&encode(&records[1..3]))));
    check(&actual, LOG_RECORDS);
}

const SNAPSHOTS: &[(&str, &str)] = &[
    ("empty", "000000000100e0d403000100"),
    (
        "with sessions",
        "e80705090203020100000002e807050106080000000000000000e0d40300040102a55a",
    ),
];

#[test]
fn a_snapshot_keeps_its_bytes() {
    let mut state: ReplicatedState<AppendList> = ReplicatedState::new(60_000);
    let empty = hex(&state.snapshot());
    for entry in [
        Entry::OpenSession { nonce: 77 },
        Entry::LeaderElected(leader_term()),
        Entry::AdvanceTime {
            term: leader_term(),
            elapsed_ms: 1000,
        },
        Entry::OpenSession { nonce: 78 },
        Entry::Write(Command {
            session: 2,
            sequence: 6,
            answered_below: 5,
            payload: vec![0xa5, 0x5a],
        }),
    ] {
        state.apply(&entry);
    }
    let bytes = state.snapshot();
    let restored =
        ReplicatedState::<AppendList>::restore(&bytes).expect("the encoding can be decoded");
    assert_eq!(restored.snapshot(), bytes);
    let actual = [("empty", empty), ("with sessions", hex(&bytes))];
    check(&actual, SNAPSHOTS);
}
