//! Several processes of the program under faults, on the rig.

use cometspool_rig::load::Pace;
use cometspool_rig::{check, Plan, Rig};
use nix::sys::signal::Signal;

/// Guards the rig's own ground on the program as it was before front doors spoke to each other: under load, a process
/// that is killed, one that stands still and one that is stopped break no rule, and those that went on lose nothing.
#[test]
fn processes_that_share_nothing_keep_the_rules_under_kills_and_pauses() {
    let mut rig = Rig::start(&Plan { processes: 4, fleet: None, ..Plan::default() }).expect("a rig");
    let load = rig.load(Pace::default());
    rig.wait("all four taken in", |_| (load.taken_in() == 4).then_some(()));
    let more = |rig: &mut Rig, count: u64| {
        let until = load.asked() + count;
        rig.wait("more requests", |_| (load.asked() >= until).then_some(()));
    };
    more(&mut rig, 50);
    rig.processes[0].kill();
    more(&mut rig, 50);
    rig.processes[1].signal(Signal::SIGSTOP);
    rig.start_one(0).expect("a start");
    more(&mut rig, 50);
    rig.processes[1].signal(Signal::SIGCONT);
    rig.processes[2].signal(Signal::SIGTERM);
    rig.processes[2].wait();
    rig.start_one(2).expect("a start");
    rig.await_serving();
    more(&mut rig, 50);
    rig.settle(&load);
    let events = rig.history.events();
    assert_eq!(check::all(&events), []);
    let count = |what: &str| events.iter().filter(|event| event.what == what).count();
    assert!(count("asked") >= 200 && count("ran") >= 100, "{} asked, {} ran", count("asked"), count("ran"));
}
