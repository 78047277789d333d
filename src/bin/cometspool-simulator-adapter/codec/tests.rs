//! Decodes and encodes hand-written frames of the simulator's wire format.

use super::*;

/// The bytes of a text of hexadecimal digits; all other characters are ignored.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn decodes_request_timer_and_client_disconnect() {
    let payload =
        hex("00000000 00408f40 0201 02000000 05000000 00000040 00000000 0900000000000000 0000000000007940 \
         01000000 00004040 02 06   0601 02000000 4d00000000000000   0501 07000000 05000000");
    let batch = decode(&payload).unwrap();
    assert_eq!(batch.now, 1000.0);
    let request = IncomingRequest {
        id: 5,
        gateway_count: 2.0,
        customer: 9,
        deadline: 400.0,
        plan: 1,
        units: 3.0,
        class: 2,
        is_retry: true,
    };
    let addressed = |instance, record| AddressedRecord { instance, record };
    assert_eq!(
        batch.records,
        vec![
            addressed(2, Record::Request(request)),
            addressed(2, Record::TimerFired { timer: 77 }),
            addressed(7, Record::ClientDisconnected { request: 5 })
        ]
    );
}

#[test]
fn decodes_completed_attempt_and_endpoint_list() {
    let payload = hex(
        "0000000000000000 0401 01000000 05000000 0100 0b000000 0300 0000000000003440 01 6500 0300 01 0000003f \
         0101 01000000 01 29000000 01000000 01 0000000000005940 0b000000 0200 00 01 0000803f",
    );
    let batch = decode(&payload).unwrap();
    let completed = CompletedAttempt {
        request: 5,
        attempt: 1,
        backend: 11,
        outcome: 3,
        elapsed: 20.0,
        request_closed: true,
        quota_usage: 101,
        actual_units: 3,
        metrics: vec![0.5],
    };
    let entry = ListEntry {
        zone: 1,
        started_at: 100.0,
        backend: 11,
        cell: 2,
        availability: 1,
        weight: 1.0,
    };
    assert_eq!(batch.records[0].record, Record::AttemptCompleted(completed));
    assert_eq!(
        batch.records[1].record,
        Record::EndpointList {
            kind: 1,
            entries: vec![entry]
        }
    );
}

#[test]
fn decodes_unused_records_completely() {
    let payload = hex(
        "0000000000000000 0801 01000000 02000000 0200 6869   0a01 01000000 000000000000f03f 0100000000000000 \
         0000803f 0000   0301 01000000 05000000 0000000000003440 0000 0b000000   0901 01000000",
    );
    let batch = decode(&payload).unwrap();
    let records: Vec<Record> = batch
        .records
        .into_iter()
        .map(|addressed| addressed.record)
        .collect();
    assert_eq!(
        records,
        vec![
            Record::Unused,
            Record::Unused,
            Record::StreamStarted { request: 5 },
            Record::Retire
        ]
    );
}

#[test]
fn malformed_frame_is_reported_with_offset_and_code() {
    let overrun = decode(&hex("0000000000000000 0601 01000000 4d0000")).unwrap_err();
    assert_eq!((overrun.offset, overrun.code), (14, Some(262)));
    let unknown = decode(&hex("0000000000000000 ff01 01000000")).unwrap_err();
    assert_eq!(
        unknown.to_string(),
        "malformed frame at offset 14, code 511: unknown event code"
    );
    assert!(decode(&hex("0000")).is_err());
}

#[test]
fn encodes_every_action() {
    let mut reply = Reply::default();
    reply.send(3, 5, 9, 80.0);
    reply.reject(3, 5, 0.0);
    reply.fail(3, 5);
    reply.cancel_attempt(3, 5, 1);
    reply.set_timer(3, 10.0, 77);
    reply.check_health(3, 9);
    reply.close_idle_connections(3, 9);
    reply.log(3, "hi");
    reply.instance_failed(3, "no");
    reply.subscribe(3);
    reply.fetch_list(3);
    let expected =
        hex("4001 03000000 05000000 09000000 0000000000005440   4101 03000000 05000000 0000000000000000 \
         4201 03000000 05000000   4301 03000000 05000000 0100   4401 03000000 0000000000002440 \
         4d00000000000000   4501 03000000 09000000   4601 03000000 09000000   4801 03000000 0200 6869 \
         4901 03000000 0200 6e6f   4a01 03000000 01   4b01 03000000");
    let frame = reply.into_frame();
    assert_eq!(frame[..4], (4 + expected.len() as u32).to_le_bytes());
    assert_eq!(frame[4..8], 11u32.to_le_bytes());
    assert_eq!(frame[8..], expected);
}
