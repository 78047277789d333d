//! The exact bytes of every form that is stored or sent. Postcard encodes by the order of fields and variants and keeps no
//! names, so any change of that order shows here, and a change of names does not.

use cometspool_replicated_log::sim::List;
use cometspool_replicated_log::{
    encode, head, Answer, Body, Command, Config, Entry, Envelope, Id, Kept, Note, Office, Outcome,
    Position, Replica, Request,
};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::{
    AcceptDecide, AcceptStopSign, AcceptSync, Accepted, Compaction, Decide, NotAccepted,
    PaxosMessage, PaxosMsg, Prepare, PrepareReq, Promise,
};
use omnipaxos::messages::Message;
use omnipaxos::storage::StopSign;
use omnipaxos::util::{LogSync, SequenceNumber};
use omnipaxos::ClusterConfig;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The encoding of a value, which has to be read back to a value of the same encoding.
fn encoded<T: Serialize + DeserializeOwned>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("it can be encoded");
    let read: T = postcard::from_bytes(&bytes).expect("it can be read back");
    let again = postcard::to_stdvec(&read).expect("it can be encoded again");
    assert_eq!(again, bytes);
    hex(&bytes)
}

/// Compares encodings with what is expected of each, and prints all of them if any differs.
fn check(actual: &[(&str, String)], expected: &[(&str, &str)]) {
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
    assert!(same, "an encoding has changed");
}

fn id(number: u64) -> Id {
    Id {
        name: format!("k{number}"),
        life: 700 + number,
    }
}

fn config() -> Config {
    Config {
        number: 5,
        keepers: vec![id(1), id(2), id(3)],
    }
}

fn position() -> Position {
    Position {
        config: 5,
        index: 300,
    }
}

fn office() -> Office {
    Office {
        config: 5,
        ballot: 9,
        seat: 2,
    }
}

fn command() -> Command {
    Command {
        session: 11,
        number: 12,
        below: 10,
        bytes: vec![0xa5, 0x5a, 0xff],
    }
}

fn ballot() -> Ballot {
    Ballot::with(5, 9, 4, 2)
}

fn other_ballot() -> Ballot {
    Ballot::with(5, 8, 3, 1)
}

fn stop() -> StopSign {
    let cluster = ClusterConfig {
        configuration_id: 6,
        nodes: vec![1, 2, 3],
        flexible_quorum: None,
    };
    StopSign::with(cluster, Some(vec![0xc0, 0xff]))
}

fn sequence() -> SequenceNumber {
    SequenceNumber {
        session: 21,
        counter: 22,
    }
}

fn sync() -> LogSync<Entry> {
    LogSync {
        decided_snapshot: None,
        suffix: vec![Entry::Open(77), Entry::Write(command())],
        sync_idx: 41,
        stopsign: Some(stop()),
    }
}

fn paxos(msg: PaxosMsg<Entry>) -> Body {
    Body::Paxos(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    }))
}

fn heartbeat(msg: HeartbeatMsg) -> Body {
    Body::Paxos(Message::BLE(BLEMessage {
        from: 1,
        to: 2,
        msg,
    }))
}

/// What was seen of a keeper, with each of its parts told from the others.
fn saw() -> Body {
    let mut body = Body::Saw(Default::default());
    if let Body::Saw(seen) = &mut body {
        seen.config = 5;
        seen.promised = ballot();
        seen.accepted.0 = other_ballot();
        seen.accepted.1 = 301;
    }
    body
}

fn envelope() -> Envelope {
    Envelope {
        record: 0x0123_4567_89ab_cdef,
        config: 5,
        from: id(1),
        number: (3, 400),
        horizon: 200,
        body: Body::StandsBy(position()),
    }
}

#[test]
fn entries_and_identities_keep_their_bytes() {
    let actual = [
        ("identity", encoded(&id(1))),
        ("configuration", encoded(&config())),
        ("position", encoded(&position())),
        ("leader term", encoded(&office())),
        ("command", encoded(&command())),
        ("entry 0", encoded(&Entry::Open(77))),
        ("entry 1", encoded(&Entry::Write(command()))),
        ("entry 2", encoded(&Entry::Office(office()))),
        ("entry 3", encoded(&Entry::Passed(office(), 1000))),
    ];
    let expected = [
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
    check(&actual, &expected);
}

#[test]
fn log_records_and_the_head_of_a_store_keep_their_bytes() {
    let kept = Kept {
        id: id(1),
        file: "here".to_owned(),
    };
    let records = [
        Note::Begin(31, config(), position(), vec![1, 2, 3]),
        Note::Start(4),
        Note::Promise(ballot()),
        Note::Accepted(ballot()),
        Note::Decided(302),
        Note::Entries(299, vec![Entry::Open(77), Entry::Write(command())]),
        Note::Stop(Some(stop())),
        Note::Stop(None),
    ];
    let mut actual = vec![("head", hex(&head(&kept)))];
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
    let expected = [
        (
            "head",
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
    check(&actual, &expected);
}

#[test]
fn a_snapshot_keeps_its_bytes() {
    let mut state: Replica<List> = Replica::new(60_000);
    let empty = hex(&state.write());
    for entry in [
        Entry::Open(77),
        Entry::Office(office()),
        Entry::Passed(office(), 1000),
        Entry::Open(78),
        Entry::Write(Command {
            session: 2,
            number: 6,
            below: 5,
            bytes: vec![0xa5, 0x5a],
        }),
    ] {
        state.apply(&entry);
    }
    let bytes = state.write();
    let read = Replica::<List>::read(&bytes).expect("it can be read back");
    assert_eq!(read.write(), bytes);
    let actual = [("empty", empty), ("with sessions", hex(&bytes))];
    let expected = [
        ("empty", "000000000100e0d403000100"),
        (
            "with sessions",
            "e80705090203020100000002e807050106080000000000000000e0d40300040102a55a",
        ),
    ];
    check(&actual, &expected);
}

#[test]
fn messages_of_clients_and_answers_keep_their_bytes() {
    let actual = [
        ("request 0", encoded(&Request::Open(77))),
        ("request 1", encoded(&Request::Write(command()))),
        ("answer 0", encoded(&Answer::Opened(77, Some(2)))),
        ("answer 0, none", encoded(&Answer::Opened(77, None))),
        (
            "answer 1, outcome 0",
            encoded(&Answer::Written(11, 12, Outcome::Done(vec![9, 8]))),
        ),
        (
            "answer 1, outcome 1",
            encoded(&Answer::Written(11, 12, Outcome::Expired)),
        ),
        (
            "answer 1, outcome 2",
            encoded(&Answer::Written(11, 12, Outcome::Refused)),
        ),
        (
            "answer 2",
            encoded(&Answer::Elsewhere(Some("k2".to_owned()))),
        ),
        ("answer 2, none", encoded(&Answer::Elsewhere(None))),
        ("answer 3", encoded(&Answer::Busy)),
    ];
    let expected = [
        ("request 0", "004d"),
        ("request 1", "010b0c0a03a55aff"),
        ("answer 0", "004d0102"),
        ("answer 0, none", "004d00"),
        ("answer 1, outcome 0", "010b0c00020908"),
        ("answer 1, outcome 1", "010b0c01"),
        ("answer 1, outcome 2", "010b0c02"),
        ("answer 2", "0201026b32"),
        ("answer 2, none", "0200"),
        ("answer 3", "03"),
    ];
    check(&actual, &expected);
}

#[test]
fn messages_between_replicas_keep_their_bytes() {
    let names = vec!["k1".to_owned(), "k2".to_owned()];
    let entries = vec![Entry::Open(77), Entry::Passed(office(), 1000)];
    let actual = [
        ("envelope", encoded(&envelope())),
        ("body 1", encoded(&Body::Doubt)),
        ("body 2", encoded(&saw())),
        ("body 3", encoded(&Body::Empty(names))),
        ("body 4", encoded(&Body::Begin(config()))),
        ("body 5", encoded(&Body::Fetch(Some(position())))),
        ("body 5, none", encoded(&Body::Fetch(None))),
        (
            "body 6",
            encoded(&Body::Tail(position(), entries.clone(), Some(config()))),
        ),
        (
            "body 6, none",
            encoded(&Body::Tail(position(), entries, None)),
        ),
        (
            "body 7",
            encoded(&Body::Offer(position(), 5000, 0xdead_beef, config())),
        ),
        ("body 8", encoded(&Body::Want(position(), 256))),
        (
            "body 9",
            encoded(&Body::Piece(position(), 256, vec![1, 2, 3])),
        ),
        ("body 10", encoded(&Body::Outside(position()))),
        ("body 11", encoded(&Body::StandsBy(position()))),
    ];
    let expected = [
        (
            "envelope",
            "ef9bafcdf8acd1910105026b31bd05039003c8010b05ac02",
        ),
        ("body 1", "01"),
        ("body 2", "02050509040205080301ad02"),
        ("body 3", "0302026b31026b32"),
        ("body 4", "040503026b31bd05026b32be05026b33bf05"),
        ("body 5", "050105ac02"),
        ("body 5, none", "0500"),
        (
            "body 6",
            "0605ac0202004d03050902e807010503026b31bd05026b32be05026b33bf05",
        ),
        ("body 6, none", "0605ac0202004d03050902e80700"),
        (
            "body 7",
            "0705ac028827effdb6f50d0503026b31bd05026b32be05026b33bf05",
        ),
        ("body 8", "0805ac028002"),
        ("body 9", "0905ac02800203010203"),
        ("body 10", "0a05ac02"),
        ("body 11", "0b05ac02"),
    ];
    check(&actual, &expected);
}

#[test]
fn the_agreement_librarys_messages_keep_their_bytes() {
    let prepare = Prepare {
        n: ballot(),
        decided_idx: 51,
        n_accepted: other_ballot(),
        accepted_idx: 52,
    };
    let promise = Promise {
        n: ballot(),
        n_accepted: other_ballot(),
        decided_idx: 51,
        accepted_idx: 52,
        log_sync: Some(sync()),
    };
    let accept_sync = AcceptSync {
        n: ballot(),
        seq_num: sequence(),
        decided_idx: 51,
        log_sync: sync(),
    };
    let accept_decide = AcceptDecide {
        n: ballot(),
        seq_num: sequence(),
        decided_idx: 51,
        entries: vec![Entry::Open(77)],
    };
    let accepted = Accepted {
        n: ballot(),
        accepted_idx: 52,
    };
    let decide = Decide {
        n: ballot(),
        seq_num: sequence(),
        decided_idx: 51,
    };
    let accept_stop = AcceptStopSign {
        n: ballot(),
        seq_num: sequence(),
        ss: stop(),
    };
    let messages = [
        paxos(PaxosMsg::PrepareReq(PrepareReq { n: ballot() })),
        paxos(PaxosMsg::Prepare(prepare)),
        paxos(PaxosMsg::Promise(promise)),
        paxos(PaxosMsg::AcceptSync(accept_sync)),
        paxos(PaxosMsg::AcceptDecide(accept_decide)),
        paxos(PaxosMsg::Accepted(accepted)),
        paxos(PaxosMsg::NotAccepted(NotAccepted { n: ballot() })),
        paxos(PaxosMsg::Decide(decide)),
        paxos(PaxosMsg::ProposalForward(vec![Entry::Open(77)])),
        paxos(PaxosMsg::Compaction(Compaction::Trim(5))),
        paxos(PaxosMsg::AcceptStopSign(accept_stop)),
        paxos(PaxosMsg::ForwardStopSign(stop())),
        heartbeat(HeartbeatMsg::Request(HeartbeatRequest { round: 61 })),
        heartbeat(HeartbeatMsg::Reply(HeartbeatReply {
            round: 61,
            ballot: ballot(),
            leader: other_ballot(),
            happy: true,
        })),
    ];
    let names = [
        "PrepareReq",
        "Prepare",
        "Promise",
        "AcceptSync",
        "AcceptDecide",
        "Accepted",
        "NotAccepted",
        "Decide",
        "ProposalForward",
        "Compaction",
        "AcceptStopSign",
        "ForwardStopSign",
        "heartbeat request",
        "heartbeat reply",
    ];
    let actual: Vec<(&str, String)> = names
        .into_iter()
        .zip(&messages)
        .map(|(name, message)| (name, encoded(message)))
        .collect();
    let expected = [
        ("PrepareReq", "000001020005090402"),
        ("Prepare", "000001020105090402330508030134"),
        (
            "Promise",
            "000001020205090402050803013334010002004d010b0c0a03a55aff29010603010203000102c0ff",
        ),
        (
            "AcceptSync",
            "0000010203050904021516330002004d010b0c0a03a55aff29010603010203000102c0ff",
        ),
        ("AcceptDecide", "00000102040509040215163301004d"),
        ("Accepted", "00000102050509040234"),
        ("NotAccepted", "000001020605090402"),
        ("Decide", "000001020705090402151633"),
        ("ProposalForward", "000001020801004d"),
        ("Compaction", "00000102090005"),
        (
            "AcceptStopSign",
            "000001020a0509040215160603010203000102c0ff",
        ),
        ("ForwardStopSign", "000001020b0603010203000102c0ff"),
        ("heartbeat request", "00010102003d"),
        ("heartbeat reply", "00010102013d050904020508030101"),
    ];
    check(&actual, &expected);
}
