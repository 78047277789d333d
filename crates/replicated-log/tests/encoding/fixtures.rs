//! Values to encode, with distinct field values, and the comparison of their encodings.

use cometspool_replicated_log::{Command, Configuration, Entry, LeaderTerm, Position, ReplicaId};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use omnipaxos::util::{LogSync, SequenceNumber};
use omnipaxos::ClusterConfig;
use serde::de::DeserializeOwned;
use serde::Serialize;

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes a value as hexadecimal text, and checks that decoding and encoding it again yields the
/// same bytes.
pub(crate) fn encoded<T: Serialize + DeserializeOwned>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    let read: T = postcard::from_bytes(&bytes).expect("the encoding can be decoded");
    let again = postcard::to_stdvec(&read).expect("the decoded value can be encoded");
    assert_eq!(again, bytes);
    hex(&bytes)
}

/// Compares encodings with the expected ones, and prints all of them if any differs.
pub(crate) fn check(actual: &[(&str, String)], expected: &[(&str, &str)]) {
    let same = actual.len() == expected.len()
        && actual
            .iter()
            .zip(expected)
            .all(|(actual, expected)| actual.0 == expected.0 && actual.1 == expected.1);
    if !same {
        for (name, bytes) in actual {
            println!("        (\"{name}\", \"{bytes}\"),");
        }
    }
    assert!(
        same,
        "an encoding has changed; the actual encodings are printed above"
    );
}

pub(crate) fn replica_id(number: u64) -> ReplicaId {
    ReplicaId {
        name: format!("k{number}"),
        incarnation: 700 + number,
    }
}

pub(crate) fn configuration() -> Configuration {
    Configuration {
        number: 5,
        voters: vec![replica_id(1), replica_id(2), replica_id(3)],
    }
}

pub(crate) fn position() -> Position {
    Position {
        configuration: 5,
        index: 300,
    }
}

pub(crate) fn leader_term() -> LeaderTerm {
    LeaderTerm {
        configuration: 5,
        ballot: 9,
        voter_id: 2,
    }
}

pub(crate) fn command() -> Command {
    Command {
        session: 11,
        sequence: 12,
        answered_below: 10,
        payload: vec![0xa5, 0x5a, 0xff],
    }
}

pub(crate) fn ballot() -> Ballot {
    Ballot::with(5, 9, 4, 2)
}

pub(crate) fn other_ballot() -> Ballot {
    Ballot::with(5, 8, 3, 1)
}

pub(crate) fn stop_sign() -> StopSign {
    let cluster = ClusterConfig {
        configuration_id: 6,
        nodes: vec![1, 2, 3],
        flexible_quorum: None,
    };
    StopSign::with(cluster, Some(vec![0xc0, 0xff]))
}

pub(crate) fn sequence_number() -> SequenceNumber {
    SequenceNumber {
        session: 21,
        counter: 22,
    }
}

pub(crate) fn log_sync() -> LogSync<Entry> {
    LogSync {
        decided_snapshot: None,
        suffix: vec![Entry::OpenSession { nonce: 77 }, Entry::Write(command())],
        sync_idx: 41,
        stopsign: Some(stop_sign()),
    }
}
