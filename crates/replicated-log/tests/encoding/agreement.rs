//! Encodings of the consensus library's messages.

use crate::fixtures::{ballot, check, encoded, log_sync, other_ballot, sequence_number, stop_sign};
use cometspool_replicated_log::{Entry, PeerMessage};
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::{
    AcceptDecide, AcceptStopSign, AcceptSync, Accepted, Compaction, Decide, NotAccepted,
    PaxosMessage, PaxosMsg, Prepare, PrepareReq, Promise,
};
use omnipaxos::messages::Message;

const AGREEMENT_MESSAGES: &[(&str, &str)] = &[
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

#[test]
fn agreement_library_messages_keep_their_bytes() {
    let mut actual = Vec::new();
    for (name, message) in prepare_phase().into_iter().chain(accept_phase()) {
        actual.push((name, encoded(&paxos(message))));
    }
    for (name, message) in heartbeats() {
        actual.push((name, encoded(&heartbeat(message))));
    }
    check(&actual, AGREEMENT_MESSAGES);
}

fn prepare_phase() -> Vec<(&'static str, PaxosMsg<Entry>)> {
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
        log_sync: Some(log_sync()),
    };
    vec![
        (
            "PrepareReq",
            PaxosMsg::PrepareReq(PrepareReq { n: ballot() }),
        ),
        ("Prepare", PaxosMsg::Prepare(prepare)),
        ("Promise", PaxosMsg::Promise(promise)),
    ]
}

fn accept_phase() -> Vec<(&'static str, PaxosMsg<Entry>)> {
    let accept_sync = AcceptSync {
        n: ballot(),
        seq_num: sequence_number(),
        decided_idx: 51,
        log_sync: log_sync(),
    };
    let accept_decide = AcceptDecide {
        n: ballot(),
        seq_num: sequence_number(),
        decided_idx: 51,
        entries: vec![Entry::OpenSession { nonce: 77 }],
    };
    let accepted = Accepted {
        n: ballot(),
        accepted_idx: 52,
    };
    let not_accepted = NotAccepted { n: ballot() };
    let decide = Decide {
        n: ballot(),
        seq_num: sequence_number(),
        decided_idx: 51,
    };
    let forward = vec![Entry::OpenSession { nonce: 77 }];
    let accept_stop_sign = AcceptStopSign {
        n: ballot(),
        seq_num: sequence_number(),
        ss: stop_sign(),
    };
    vec![
        ("AcceptSync", PaxosMsg::AcceptSync(accept_sync)),
        ("AcceptDecide", PaxosMsg::AcceptDecide(accept_decide)),
        ("Accepted", PaxosMsg::Accepted(accepted)),
        ("NotAccepted", PaxosMsg::NotAccepted(not_accepted)),
        ("Decide", PaxosMsg::Decide(decide)),
        ("ProposalForward", PaxosMsg::ProposalForward(forward)),
        ("Compaction", PaxosMsg::Compaction(Compaction::Trim(5))),
        ("AcceptStopSign", PaxosMsg::AcceptStopSign(accept_stop_sign)),
        ("ForwardStopSign", PaxosMsg::ForwardStopSign(stop_sign())),
    ]
}

fn heartbeats() -> Vec<(&'static str, HeartbeatMsg)> {
    let request = HeartbeatRequest { round: 61 };
    let reply = HeartbeatReply {
        round: 61,
        ballot: ballot(),
        leader: other_ballot(),
        happy: true,
    };
    vec![
        ("heartbeat request", HeartbeatMsg::Request(request)),
        ("heartbeat reply", HeartbeatMsg::Reply(reply)),
    ]
}

fn paxos(msg: PaxosMsg<Entry>) -> PeerMessage {
    PeerMessage::Paxos(Message::SequencePaxos(PaxosMessage {
        from: 1,
        to: 2,
        msg,
    }))
}

fn heartbeat(msg: HeartbeatMsg) -> PeerMessage {
    PeerMessage::Paxos(Message::BLE(BLEMessage {
        from: 1,
        to: 2,
        msg,
    }))
}
