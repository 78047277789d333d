//! Tests of the exact bytes of everything that a member sends. Members of different versions run
//! side by side, so a change of these bytes is a change of the protocol and must never be a side
//! effect.

use crate::load::LoadReport;
use crate::wire::PostcardCodec;
use crate::{Effect, Member, MemberState, MemberUpdate, Membership, Timing};
use foca::{Codec, Header, Message};
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits"))
        .collect()
}

fn member(name: &str, generation: u64) -> Member {
    let address = match name {
        "v6" => "[2001:db8::7]:9100".parse(),
        _ => "10.0.0.4:9100".parse(),
    };
    Member {
        generation,
        instance_id: 0x0123_4567_89ab_cdef,
        zone: "hall-a".to_owned(),
        version: 1,
        may_hold_replicas: generation % 2 == 1,
        leaving: generation > 1000,
        ..Member::at_address(name, address.expect("an address"))
    }
}

fn header(message: Message<Member>) -> Header<Member> {
    Header {
        src: member("n1", 300),
        src_incarnation: 5,
        dst: member("n2", 7),
        message,
    }
}

/// `member("n1", 300)`: name, generation, instance id, address, zone, version, two flags.
const MEMBER_N1: &str = "026e31ac02ef9bafcdf8acd19101000a0000048c470668616c6c2d61010000";
/// `member("n3", 1)`.
const MEMBER_N3: &str = "026e3301ef9bafcdf8acd19101000a0000048c470668616c6c2d61010100";

/// Guards the bytes of a datagram's header: the sender, its incarnation, the receiver's name and
/// generation, and the message.
#[test]
fn a_datagram_header_keeps_its_bytes_for_every_message() {
    let n3 = member("n3", 1);
    let cases = [
        (Message::Ping(9), "0009".to_owned()),
        (Message::Ack(200), "01c8".to_owned()),
        (
            Message::PingReq {
                target: n3.clone(),
                probe_number: 4,
            },
            format!("02{MEMBER_N3}04"),
        ),
        (
            Message::IndirectPing {
                origin: n3.clone(),
                probe_number: 4,
            },
            format!("03{MEMBER_N3}04"),
        ),
        (
            Message::IndirectAck {
                target: n3.clone(),
                probe_number: 4,
            },
            format!("04{MEMBER_N3}04"),
        ),
        (
            Message::ForwardedAck {
                origin: n3.clone(),
                probe_number: 4,
            },
            format!("05{MEMBER_N3}04"),
        ),
        (Message::Announce, "06".to_owned()),
        (Message::Feed, "07".to_owned()),
        (Message::Gossip, "08".to_owned()),
        (Message::Broadcast, "09".to_owned()),
        (Message::TurnUndead, "0a".to_owned()),
    ];
    for (message, kind) in cases {
        let mut bytes = Vec::new();
        PostcardCodec
            .encode_header(&header(message.clone()), &mut bytes)
            .expect("a vector has space left");
        assert_eq!(
            hex(&bytes),
            format!("{MEMBER_N1}05026e3207{kind}"),
            "{message:?}"
        );
        let read = PostcardCodec
            .decode_header(&bytes[..])
            .expect("its own bytes");
        assert_eq!(read.message, message);
        assert_eq!((read.src, read.src_incarnation), (member("n1", 300), 5));
        assert_eq!(read.dst, member("n2", 7));
    }
}

/// Guards the bytes of a member update: the identity, the incarnation and the state, for every
/// state, flag and kind of address.
#[test]
fn a_member_update_keeps_its_bytes_in_every_state() {
    let cases = [
        (member("n1", 300), 5, foca::State::Alive, "026e31ac02ef9bafcdf8acd19101000a0000048c470668616c6c2d610100000500"),
        (member("n3", 1), 0, foca::State::Suspect, "026e3301ef9bafcdf8acd19101000a0000048c470668616c6c2d610101000001"),
        (member("v6", 70_001), 65_535, foca::State::Down, "027636f1a204ef9bafcdf8acd191010120010db80000000000000000000000078c470668616c6c2d61010101ffff0302"),
    ];
    for (member, incarnation, state, expected) in cases {
        let mut bytes = Vec::new();
        let known = foca::Member::new(member.clone(), incarnation, state);
        PostcardCodec
            .encode_member(&known, &mut bytes)
            .expect("a vector has space left");
        assert_eq!(hex(&bytes), expected, "{member:?}");
        let update = MemberUpdate {
            member: member.clone(),
            incarnation,
            state: MemberState::from(state),
        };
        assert_eq!(
            hex(&postcard::to_stdvec(&update).expect("plain values")),
            expected
        );
        let read = PostcardCodec
            .decode_member(&bytes[..])
            .expect("its own bytes");
        let expected = MemberUpdate::from_foca(&known);
        let read = MemberUpdate::from_foca(&read);
        assert_eq!(format!("{read:?}"), format!("{expected:?}"));
    }
}

/// Guards the bytes of a load report, which is sent behind the updates of a datagram.
#[test]
fn a_load_report_keeps_its_bytes() {
    let report = LoadReport {
        name: "n1".into(),
        generation: 300,
        sequence: 70_000,
        load: 999,
    };
    let bytes = postcard::to_stdvec(&report).expect("plain values");
    assert_eq!(hex(&bytes), "026e31ac02f0a204e707");
    let read: LoadReport = postcard::from_bytes(&bytes).expect("its own bytes");
    assert_eq!(read, report);
}

/// Guards the bytes of the anti-entropy messages, including the hash of the digest, which both
/// sides compute.
#[test]
fn an_anti_entropy_exchange_keeps_its_bytes_from_the_digest_to_the_last_reply() {
    let configured = vec![Member::at_address(
        "n2",
        "10.0.0.5:9100".parse().expect("one"),
    )];
    let mut first = Membership::new(
        0.0,
        member("n1", 300),
        configured,
        Timing::for_size(3),
        3,
        1,
    );
    let effects = first.tick(0.0);
    let digest = effects.iter().find_map(|effect| match effect {
        Effect::SendAntiEntropy { bytes, .. } => Some(bytes.clone()),
        _ => None,
    });
    let digest = digest.expect("the configured member is contacted at once");
    assert_eq!(hex(&digest), "00e5b79af699f58b8a9c01");

    let mut second = Membership::new(0.0, member("n3", 1), Vec::new(), Timing::for_size(3), 3, 2);
    let reply = second.handle_anti_entropy(1.0, &digest).reply;
    let reply = reply.expect("a differing digest is answered with all known updates");
    assert_eq!(hex(&reply), format!("0101{MEMBER_N3}000001"));

    let last = first.handle_anti_entropy(2.0, &reply).reply;
    let last = last.expect("the other side requested a reply");
    assert_eq!(hex(&last), format!("0102{MEMBER_N3}0000{MEMBER_N1}000000"));
    let outcome = second.handle_anti_entropy(3.0, &last);
    assert_eq!(outcome.reply, None);
    // Both know the same members now, so a digest gets no reply.
    let outcome = second.handle_anti_entropy(4.0, &unhex("00a9c1a5dde5e8e6dc49"));
    assert_eq!(outcome.reply, None);
}

/// Guards the bytes of a complete datagram, as a peer of another version decodes it: header, number
/// of updates, updates, load report.
#[test]
fn a_complete_datagram_keeps_its_bytes() {
    let mut bytes = Vec::new();
    PostcardCodec
        .encode_header(&header(Message::Announce), &mut bytes)
        .expect("a vector has space left");
    let mut other = Membership::new(0.0, member("n2", 7), Vec::new(), Timing::for_size(3), 3, 2);
    other.report_load(0.0, 250);
    let sent: Vec<String> = other
        .handle_datagram(1.0, &bytes)
        .iter()
        .filter_map(|effect| match effect {
            Effect::SendDatagram { bytes, .. } => Some(hex(bytes)),
            _ => None,
        })
        .collect();
    let feed = "026e3207ef9bafcdf8acd19101000a0000048c470668616c6c2d6101010000026e31ac0207";
    let report = "026e320701fa01";
    assert_eq!(sent, [format!("{feed}00000007{report}")]);
}
