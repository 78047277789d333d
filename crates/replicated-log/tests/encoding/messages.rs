//! Encodings of messages between clients and replicas, and between replicas.

use crate::fixtures::{
    ballot, check, command, configuration, encoded, leader_term, other_ballot, position, replica_id,
};
use cometspool_replicated_log::{
    AcceptedPrefix, Entry, Envelope, MessageNumber, Outcome, PeerMessage, Request, Response,
    SnapshotChunk, SnapshotOffer, VoterProgress,
};

const CLIENT_MESSAGES: &[(&str, &str)] = &[
    ("request 0", "004d"),
    ("request 1", "010b0c0a03a55aff"),
    ("response 0", "004d0102"),
    ("response 0, none", "004d00"),
    ("response 1, outcome 0", "010b0c00020908"),
    ("response 1, outcome 1", "010b0c01"),
    ("response 1, outcome 2", "010b0c02"),
    ("response 2", "0201026b32"),
    ("response 2, none", "0200"),
    ("response 3", "03"),
];

#[test]
fn client_requests_and_responses_keep_their_bytes() {
    let actual = [
        ("request 0", encoded(&Request::OpenSession { nonce: 77 })),
        ("request 1", encoded(&Request::Write(command()))),
        (
            "response 0",
            encoded(&Response::SessionOpened {
                nonce: 77,
                session: Some(2),
            }),
        ),
        (
            "response 0, none",
            encoded(&Response::SessionOpened {
                nonce: 77,
                session: None,
            }),
        ),
        (
            "response 1, outcome 0",
            encoded(&written(Outcome::Applied(vec![9, 8]))),
        ),
        (
            "response 1, outcome 1",
            encoded(&written(Outcome::SessionExpired)),
        ),
        (
            "response 1, outcome 2",
            encoded(&written(Outcome::Rejected)),
        ),
        (
            "response 2",
            encoded(&Response::NotLeader {
                leader: Some("k2".to_owned()),
            }),
        ),
        (
            "response 2, none",
            encoded(&Response::NotLeader { leader: None }),
        ),
        ("response 3", encoded(&Response::Busy)),
    ];
    check(&actual, CLIENT_MESSAGES);
}

const PEER_MESSAGES: &[(&str, &str)] = &[
    (
        "envelope",
        "ef9bafcdf8acd1910105026b31bd05039003c8010b05ac02",
    ),
    ("message 1", "01"),
    ("message 2", "02050509040205080301ad02"),
    ("message 3", "0302026b31026b32"),
    ("message 4", "040503026b31bd05026b32be05026b33bf05"),
    ("message 5", "050105ac02"),
    ("message 5, none", "0500"),
    (
        "message 6",
        "0605ac0202004d03050902e807010503026b31bd05026b32be05026b33bf05",
    ),
    ("message 6, none", "0605ac0202004d03050902e80700"),
    (
        "message 7",
        "0705ac028827effdb6f50d0503026b31bd05026b32be05026b33bf05",
    ),
    ("message 8", "0805ac028002"),
    ("message 9", "0905ac02800203010203"),
    ("message 10", "0a05ac02"),
    ("message 11", "0b05ac02"),
];

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let mut actual = vec![("envelope", encoded(&envelope()))];
    actual.extend(membership_messages());
    actual.extend(entry_messages());
    actual.extend(snapshot_messages());
    actual.extend([
        (
            "message 10",
            encoded(&PeerMessage::PositionNotice(position())),
        ),
        ("message 11", encoded(&PeerMessage::Standby(position()))),
    ]);
    check(&actual, PEER_MESSAGES);
}

fn membership_messages() -> Vec<(&'static str, String)> {
    let founders = vec!["k1".to_owned(), "k2".to_owned()];
    vec![
        ("message 1", encoded(&PeerMessage::RecoveryQuery)),
        (
            "message 2",
            encoded(&PeerMessage::RecoveryReply(progress())),
        ),
        (
            "message 3",
            encoded(&PeerMessage::Uninitialized { founders }),
        ),
        (
            "message 4",
            encoded(&PeerMessage::Bootstrap(configuration())),
        ),
    ]
}

fn entry_messages() -> Vec<(&'static str, String)> {
    let entries = vec![
        Entry::OpenSession { nonce: 77 },
        Entry::AdvanceTime {
            term: leader_term(),
            elapsed_ms: 1000,
        },
    ];
    vec![
        (
            "message 5",
            encoded(&PeerMessage::FetchEntries {
                after: Some(position()),
            }),
        ),
        (
            "message 5, none",
            encoded(&PeerMessage::FetchEntries { after: None }),
        ),
        (
            "message 6",
            encoded(&PeerMessage::Entries {
                after: position(),
                entries: entries.clone(),
                next_configuration: Some(configuration()),
            }),
        ),
        (
            "message 6, none",
            encoded(&PeerMessage::Entries {
                after: position(),
                entries,
                next_configuration: None,
            }),
        ),
    ]
}

fn snapshot_messages() -> Vec<(&'static str, String)> {
    vec![
        (
            "message 7",
            encoded(&PeerMessage::SnapshotOffer(SnapshotOffer {
                position: position(),
                length: 5000,
                checksum: 0xdead_beef,
                configuration: configuration(),
            })),
        ),
        (
            "message 8",
            encoded(&PeerMessage::SnapshotRequest {
                position: position(),
                offset: 256,
            }),
        ),
        (
            "message 9",
            encoded(&PeerMessage::SnapshotChunk(SnapshotChunk {
                position: position(),
                offset: 256,
                bytes: vec![1, 2, 3],
            })),
        ),
    ]
}

fn written(outcome: Outcome) -> Response {
    Response::Written {
        session: 11,
        sequence: 12,
        outcome,
    }
}

fn progress() -> VoterProgress {
    VoterProgress {
        configuration: 5,
        highest_ballot: ballot(),
        accepted: AcceptedPrefix {
            ballot: other_ballot(),
            length: 301,
        },
    }
}

fn envelope() -> Envelope {
    Envelope {
        log_id: 0x0123_4567_89ab_cdef,
        configuration: 5,
        sender: replica_id(1),
        number: MessageNumber {
            start: 3,
            sequence: 400,
        },
        first_index: 200,
        message: PeerMessage::Standby(position()),
    }
}
