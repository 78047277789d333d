//! Unit tests of the fleet layer as a whole.

/// Guards the names of the counters in the log, because tools read them.
#[test]
fn the_counters_keep_their_names_in_the_log() {
    let transport =
        serde_json::to_string(&super::transport::counters::TransportCounters::default());
    assert_eq!(
        transport.expect("plain values"),
        r#"{"dials":0,"dials_failed":0,"up":0,"down":0,"silent":0,"sent":0,"sent_bytes":0,"read":0,"read_bytes":0,"full":0,"dropped":0,"mark":0,"checksum":0,"version":0,"fleet":0,"generation":0,"size":0,"wrong_name":0,"unknown":0,"crowded":0}"#
    );
    let membership = serde_json::to_string(&cometspool_membership::Counters::default());
    assert_eq!(
        membership.expect("plain values"),
        r#"{"sent":0,"sent_bytes":0,"heard":0,"heard_bytes":0,"malformed":0,"differed":0,"held_up":0,"returned":0,"failed":0,"left":0}"#
    );
}
