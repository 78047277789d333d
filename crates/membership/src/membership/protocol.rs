//! The interface to the protocol library `foca`: calls the library, and turns its output into
//! effects, timers and changes of the view.

use super::{Membership, TimerEvent};
use crate::effect::{Change, Effect};
use crate::load::LoadTable;
use crate::member::Member;
use crate::view::FailedMember;
use crate::wire::PostcardCodec;
use bytes::Bytes;
use foca::{Foca, Notification, Runtime, Timer};
use rand::rngs::StdRng;
use std::time::Duration;

/// A datagram that the library asks to send.
struct OutgoingDatagram {
    to: Member,
    bytes: Bytes,
}

/// A timer that the library asks to set.
struct RequestedTimer {
    timer: Timer<Member>,
    after: Duration,
}

/// A change that the library reports.
enum ProtocolEvent {
    Up(Member),
    Down(Member),
    /// An active member changed its identity.
    Renamed(Member),
    /// This process was declared failed and rejoined.
    Rejoined,
}

/// Collects the output of one call of the library.
#[derive(Default)]
pub(super) struct ProtocolOutput {
    datagrams: Vec<OutgoingDatagram>,
    timers: Vec<RequestedTimer>,
    events: Vec<ProtocolEvent>,
}

impl Runtime<Member> for ProtocolOutput {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.events.push(match notification {
            Notification::MemberUp(member) => ProtocolEvent::Up(member.clone()),
            Notification::MemberDown(member) => ProtocolEvent::Down(member.clone()),
            Notification::Rename(_, member) => ProtocolEvent::Renamed(member.clone()),
            Notification::Rejoin(_) => ProtocolEvent::Rejoined,
            Notification::Active | Notification::Idle | Notification::Defunct => return,
        });
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let bytes = Bytes::copy_from_slice(data);
        self.datagrams.push(OutgoingDatagram { to, bytes });
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.timers.push(RequestedTimer { timer, after });
    }
}

/// Whether an error of the library means that the bytes it was given are malformed.
fn is_malformed(error: &foca::Error) -> bool {
    use foca::Error::{CustomBroadcast, DataTooBig, Decode, IndirectForOurselves, MalformedPacket};
    matches!(
        error,
        Decode(_) | DataTooBig | MalformedPacket | CustomBroadcast(_) | IndirectForOurselves
    )
}

impl Membership {
    /// Calls the library, and turns its output into effects, timers and changes of the view.
    pub(super) fn run_protocol(
        &mut self,
        effects: &mut Vec<Effect>,
        call: impl FnOnce(
            &mut Foca<Member, PostcardCodec, StdRng, LoadTable>,
            &mut ProtocolOutput,
        ) -> Result<(), foca::Error>,
    ) {
        let generation = self.local_member().generation;
        let mut output = ProtocolOutput::default();
        let result = call(&mut self.foca, &mut output);
        if result.is_err_and(|error| is_malformed(&error)) {
            self.counters.malformed += 1;
        }
        for datagram in output.datagrams {
            self.counters.sent += 1;
            self.counters.sent_bytes += datagram.bytes.len() as u64;
            effects.push(Effect::SendDatagram {
                to: datagram.to,
                bytes: datagram.bytes,
            });
        }
        for requested in output.timers {
            self.schedule_protocol_timer(requested);
        }
        for event in output.events {
            self.apply_protocol_event(event, effects);
        }
        if self.local_member().generation != generation {
            let local = self.local_member().clone();
            self.view.present.insert(local.name.clone(), local);
        }
    }

    /// Handles a timer of the library that is due.
    pub(super) fn handle_protocol_timer(
        &mut self,
        timer: Timer<Member>,
        effects: &mut Vec<Effect>,
    ) {
        if matches!(timer, Timer::ProbeRandomMember(_)) {
            self.health.record_probe();
        }
        if !self.extend_suspicion(&timer, effects) {
            self.run_protocol(effects, |foca, output| foca.handle_timer(timer, output));
        }
    }

    /// Sets a timer of the library. The worse the local health, the later probes are sent and
    /// suspicions time out.
    fn schedule_protocol_timer(&mut self, requested: RequestedTimer) {
        let multiplier = match requested.timer {
            Timer::ProbeRandomMember(_)
            | Timer::SendIndirectProbe { .. }
            | Timer::ChangeSuspectToDown { .. } => self.health.multiplier(),
            _ => 1.0,
        };
        let after = requested.after.as_secs_f64() * 1000.0 * multiplier;
        match requested.timer {
            Timer::ChangeSuspectToDown { .. } => self.start_suspicion(requested.timer, after),
            timer => self.timers.schedule(after, TimerEvent::Protocol(timer)),
        }
    }

    fn apply_protocol_event(&mut self, event: ProtocolEvent, effects: &mut Vec<Effect>) {
        let change = match event {
            ProtocolEvent::Up(member) => Some(self.add_member(member)),
            ProtocolEvent::Renamed(member) => self.replace_member(member),
            ProtocolEvent::Down(member) => self.remove_member(member),
            ProtocolEvent::Rejoined => {
                self.counters.rejoins += 1;
                None
            }
        };
        let Some(change) = change else {
            return;
        };
        self.view.revision += 1;
        effects.push(Effect::Changed(change));
        self.hasten_anti_entropy();
    }

    fn add_member(&mut self, member: Member) -> Change {
        self.view.failed.remove(&member.name);
        self.view
            .present
            .insert(member.name.clone(), member.clone());
        Change::Joined(member)
    }

    /// Replaces an active member by its new generation: the process was restarted before its
    /// failure was detected.
    fn replace_member(&mut self, member: Member) -> Option<Change> {
        let known = self.view.present.get_mut(&member.name)?;
        if member.leaving {
            return None;
        }
        *known = member.clone();
        Some(Change::Joined(member))
    }

    fn remove_member(&mut self, member: Member) -> Option<Change> {
        self.suspicions.retain(|key, _| key.name != member.name);
        self.view.present.remove(&member.name)?;
        if member.leaving {
            self.counters.left += 1;
            return Some(Change::Left(member));
        }
        self.counters.failed += 1;
        let failed = FailedMember {
            member: member.clone(),
            failed_at: self.timers.now(),
        };
        self.view.failed.insert(member.name.clone(), failed);
        Some(Change::Failed(member))
    }
}
