//! Runs the adapter program and exchanges hand-written frames with it over standard input and output.

use std::io::{Read, Write};
use std::process::{Child, Command, Output, Stdio};

fn spawn_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_cometspool-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("spawn the adapter")
}

/// Closes the adapter's standard input and waits until the process ends.
fn close_input_and_wait(mut child: Child) -> Output {
    drop(child.stdin.take());
    child.wait_with_output().expect("wait for the adapter")
}

/// An event frame; `now` is the simulated time, ms.
fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = now
        .to_le_bytes()
        .into_iter()
        .chain(records.concat())
        .collect();
    (body.len() as u32)
        .to_le_bytes()
        .into_iter()
        .chain(body)
        .collect()
}

fn record(code: u16, instance: u32, fields: &[&[u8]]) -> Vec<u8> {
    [
        &code.to_le_bytes()[..],
        &instance.to_le_bytes()[..],
        &fields.concat(),
    ]
    .concat()
}

fn create(instance: u32, settings: &str) -> Vec<u8> {
    record(
        256,
        instance,
        &[
            &7u64.to_le_bytes(),
            &(settings.len() as u32).to_le_bytes(),
            settings.as_bytes(),
        ],
    )
}

/// A cached endpoint list with one ready backend, id 9.
fn cached_list(instance: u32) -> Vec<u8> {
    let entry = [
        &[0u8][..],
        &0f64.to_le_bytes(),
        &9u32.to_le_bytes(),
        &[0, 0, 0, 2],
        &1f32.to_le_bytes(),
    ]
    .concat();
    record(
        257,
        instance,
        &[&[2], &1u32.to_le_bytes(), &1u32.to_le_bytes(), &entry],
    )
}

fn request(instance: u32, id: u32) -> Vec<u8> {
    let one = 1f32.to_le_bytes();
    let zero = 0f32.to_le_bytes();
    let deadline = 5000f64.to_le_bytes();
    let plan = 0u32.to_le_bytes();
    record(
        258,
        instance,
        &[
            &id.to_le_bytes(),
            &one,
            &zero,
            &5u64.to_le_bytes(),
            &deadline,
            &plan,
            &one,
            &[0, 0],
        ],
    )
}

const SETTINGS: &str = "grades.count=1\ngrades.0.aim=1000\ngrades.0.give_up=3000\ngrades.0.idempotency=safe\n\
                     plans.count=1\nplans.0.per_second=5\nplans.0.peak_units=10\ntick=2.0\nsomething.new=1\n";

/// Reads one action frame; returns the number of its records and their bytes.
fn read_reply(child: &mut Child) -> (u32, Vec<u8>) {
    let out = child.stdout.as_mut().expect("stdout is piped");
    let mut header = [0; 8];
    out.read_exact(&mut header)
        .expect("read the header of a reply");
    let length = u32::from_le_bytes(header[..4].try_into().unwrap());
    let mut body = vec![0; length as usize - 4];
    out.read_exact(&mut body)
        .expect("read the records of a reply");
    (u32::from_le_bytes(header[4..].try_into().unwrap()), body)
}

fn write_frame(child: &mut Child, frame: &[u8]) {
    let input = child.stdin.as_mut().expect("stdin is piped");
    input
        .write_all(frame)
        .and_then(|()| input.flush())
        .expect("write a frame to the adapter");
}

#[test]
fn request_is_forwarded_and_every_frame_gets_one_reply() {
    let mut child = spawn_adapter();
    write_frame(&mut child, &frame(0.0, &[]));
    assert_eq!(read_reply(&mut child), (0, vec![]));
    let records = [
        create(3, SETTINGS),
        cached_list(3),
        create(4, SETTINGS),
        cached_list(4),
    ];
    write_frame(&mut child, &frame(1.0, &records));
    assert_eq!(read_reply(&mut child), (0, vec![]));
    write_frame(&mut child, &frame(2.0, &[request(3, 77)]));
    let (count, body) = read_reply(&mut child);
    assert_eq!(count, 2);
    assert_eq!(body[..2], 324u16.to_le_bytes()); // a timer before the deadline
    let sent = &body[22..];
    assert_eq!(sent[..2], 320u16.to_le_bytes());
    assert_eq!(
        sent[2..14],
        [3u32.to_le_bytes(), 77u32.to_le_bytes(), 9u32.to_le_bytes()].concat()
    );
    // An instance that is retired and created again in one frame has no record of request 77.
    let restart = [
        record(265, 3, &[]),
        create(3, SETTINGS),
        cached_list(3),
        record(261, 3, &[&77u32.to_le_bytes()]),
    ];
    write_frame(&mut child, &frame(3.0, &restart));
    assert_eq!(read_reply(&mut child), (0, vec![]));
    let output = close_input_and_wait(child);
    assert!(output.status.success());
}

#[test]
fn unreadable_settings_fail_the_instance() {
    let mut child = spawn_adapter();
    write_frame(&mut child, &frame(1.0, &[create(3, "tick=soon")]));
    let (count, body) = read_reply(&mut child);
    assert_eq!((count, &body[..2]), (1, &329u16.to_le_bytes()[..]));
    assert!(String::from_utf8_lossy(&body).contains("tick=soon"));
    assert!(close_input_and_wait(child).status.success());
}

#[test]
fn malformed_frame_ends_the_adapter_with_one_line_on_stderr() {
    let cases: [(Vec<u8>, &str); 3] = [
        (vec![40, 0, 0, 0, 1, 2], "truncated frame"),
        (
            frame(1.0, &[record(999, 1, &[])]),
            "code 999: unknown event code",
        ),
        (frame(1.0, &[record(262, 1, &[&[1, 2]])]), "overruns"),
    ];
    for (bytes, expected) in cases {
        let mut child = spawn_adapter();
        write_frame(&mut child, &bytes);
        let output = close_input_and_wait(child);
        assert!(!output.status.success());
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(expected), "{text}");
        assert_eq!(text.lines().count(), 1);
    }
}
