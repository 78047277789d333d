//! The core: what comes in and the time go in, what is to be sent and what changed come out.

use crate::counters::Counters;
use crate::effect::{Change, Effect};
use crate::load::{LoadReport, Loads};
use crate::member::{Entry, Member, Name, Standing, Wire, MAX_MEMBERS};
use crate::times::Times;
use crate::view::View;
use bytes::Bytes;
use foca::{Codec, Foca, Header, Message, Notification, Runtime, Timer};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// What two ways of adding up the same times may differ by, ms: less is no waiting.
const TIME_RESOLUTION: f64 = 1e-3;
/// Reports of loads that all members together send in a second: each costs every member some ten times its 25 bytes, sent on.
const LOAD_REPORTS_PER_SECOND: f64 = 5.0;
/// A load is reported at once if it has changed by this, in parts of a thousand.
const LOAD_CHANGE: u16 = 100;
/// Intervals between reports after which a load that has not changed is repeated.
const REPEAT_INTERVALS: f64 = 20.0;
/// How far the doubt in oneself goes: times are stretched to this and one times what they are (Lifeguard's bound).
const MAX_SELF_DOUBT: u32 = 8;

/// A message of a comparison of all that two members know.
#[derive(Serialize, Deserialize)]
enum Comparison {
    /// What it comes to. Whoever knows the same says nothing more.
    Digest(u64),
    /// All of it; whether the other's is wanted back.
    All(Vec<Entry>, bool),
}

#[derive(Debug)]
enum Due {
    Foca(Timer<Member>),
    Heal,
    /// A comparison, unless a sooner one was set since.
    Compare(u64),
    /// Ask a member that is doubted in this incarnation once more.
    Ask(Member, u16),
}

/// What a member is suspected for: its name, its number, and the incarnation in which it did not answer.
type SuspicionKey = (Name, u64, u16);

/// A member of the fleet.
pub struct Membership {
    foca: Foca<Member, Wire, StdRng, Loads>,
    loads: Loads,
    times: Times,
    chance: StdRng,
    /// Where somebody may be, whether known or not, by the configuration.
    configured: Vec<Member>,
    view: View,
    counters: Counters,
    /// Timers by awake time, as bits (it is never under nought, so they are ordered as it is), and then as they were set.
    timers: BTreeMap<(u64, u64), Due>,
    timers_set: u64,
    /// When last something happened, ms of the caller's clock, and what of the time since the start this process was awake.
    last: f64,
    awake: f64,
    self_doubt: u32,
    /// A probe is out, and whether anything at all was heard since.
    probing: bool,
    heard: bool,
    /// Those whom this process doubts, and whether they have answered since.
    suspicions: BTreeMap<SuspicionKey, bool>,
    /// Until when, awake, it may take its name from one that seems alive.
    settles: f64,
    taken_name: bool,
    gone: bool,
    sequence: u32,
    /// When it last reported its load, and what.
    last_report: Option<(f64, u16)>,
    /// Between two comparisons now, ms, and which of those that were set counts.
    compare_interval: f64,
    round: u64,
}

/// Collects what the protocol asks for: datagrams, timers and notices.
#[derive(Default)]
struct ProtocolOutput {
    send: Vec<(Member, Bytes)>,
    timers: Vec<(Timer<Member>, Duration)>,
    notices: Vec<Notice>,
}

enum Notice {
    Up(Member),
    Down(Member),
    Renamed(Member),
    Returned,
}

impl Runtime<Member> for ProtocolOutput {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.notices.push(match notification {
            Notification::MemberUp(member) => Notice::Up(member.clone()),
            Notification::MemberDown(member) => Notice::Down(member.clone()),
            Notification::Rename(_, member) => Notice::Renamed(member.clone()),
            Notification::Rejoin(_) => Notice::Returned,
            Notification::Active | Notification::Idle | Notification::Defunct => return,
        });
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.send.push((to, Bytes::copy_from_slice(data)));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((event, after));
    }
}

impl Membership {
    /// A process that starts at `now` (ms of a steady clock) in a fleet of about `size`, and is configured with where others may
    /// be. `seed` is its only source of chance.
    pub fn new(
        now: f64,
        own: Member,
        configured: Vec<Member>,
        times: Times,
        size: u32,
        seed: u64,
    ) -> Membership {
        let soon = times.settled_news();
        let (mut chance, loads) = (StdRng::seed_from_u64(seed), Loads::default());
        let foca = Foca::with_custom_broadcast(
            own.clone(),
            times.foca(size),
            StdRng::seed_from_u64(chance.random()),
            Wire,
            loads.clone(),
        );
        let mut view = View::default();
        view.present.insert(own.name.clone(), own);
        let mut membership = Membership {
            foca,
            loads,
            settles: times.settle,
            times,
            chance,
            configured,
            view,
            counters: Counters::default(),
            timers: BTreeMap::new(),
            timers_set: 0,
            last: now,
            awake: 0.0,
            self_doubt: 0,
            probing: false,
            heard: false,
            suspicions: BTreeMap::new(),
            taken_name: false,
            gone: false,
            sequence: 0,
            last_report: None,
            compare_interval: soon,
            round: 0,
        };
        // The first look round is at once; of many that start together each draws whom it asks.
        membership.set(0.0, Due::Heal);
        membership.set_compare();
        membership
    }

    /// This process as others know it.
    pub fn own(&self) -> &Member {
        self.foca.identity()
    }

    /// Who seems present.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How far it doubts itself: times are this and one times as long.
    pub fn self_doubt(&self) -> u32 {
        self.self_doubt
    }

    /// Whether it takes part no more: it left, or its name is another's.
    pub fn gone(&self) -> bool {
        self.gone
    }

    /// What a member last said of its load, in parts of a thousand.
    pub fn load_of(&self, name: &str) -> Option<u16> {
        self.loads.of(name)
    }

    /// When it wants to be called next, ms of the caller's clock.
    pub fn next(&self) -> Option<f64> {
        let ((at, _), _) = self.timers.first_key_value()?;
        Some(self.last + (f64::from_bits(*at) - self.awake).max(0.0))
    }

    /// Moves the time on. Time in which the process did not run does not count: whoever was kept from hearing others
    /// doubts itself first, and all that was under way gets its full time.
    fn advance(&mut self, now: f64) {
        let due = self.next().unwrap_or(now).max(self.last);
        let late = now - due;
        if late > self.times.tolerance {
            self.counters.held_up += 1;
            self.doubt_self(2);
            self.awake += due - self.last;
        } else {
            self.awake += (now - self.last).max(0.0);
        }
        self.last = self.last.max(now);
    }

    fn doubt_self(&mut self, by: u32) {
        self.self_doubt = (self.self_doubt + by).min(MAX_SELF_DOUBT);
    }

    fn set(&mut self, after: f64, due: Due) {
        self.timers_set += 1;
        self.timers
            .insert(((self.awake + after).to_bits(), self.timers_set), due);
    }

    fn set_compare(&mut self) {
        self.round += 1;
        let next = self.spread(self.compare_interval);
        self.set(next, Due::Compare(self.round));
    }

    /// Evenly between a half and one and a half of it: a fleet that starts together does not stay in step.
    fn spread(&mut self, time: f64) -> f64 {
        time * self.chance.random_range(0.5..1.5)
    }

    /// Fires what has come due.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        while let Some(first) = self.timers.first_entry() {
            if f64::from_bits(first.key().0) > self.awake + TIME_RESOLUTION {
                break;
            }
            let due = first.remove();
            if self.gone {
                continue;
            }
            match due {
                Due::Foca(timer) => {
                    if matches!(timer, Timer::ProbeRandomMember(_)) {
                        if self.probing && !self.heard {
                            // Nobody at all was heard: that is more likely this process than all the others.
                            self.doubt_self(1);
                        }
                        (self.probing, self.heard) = (true, false);
                    }
                    if !self.extend_suspicion(&timer, &mut effects) {
                        self.run(&mut effects, |foca, output| {
                            foca.handle_timer(timer, output)
                        });
                    }
                }
                Due::Ask(member, incarnation) => {
                    let key = (member.name.clone(), member.number, incarnation);
                    let unanswered = self.suspicions.get(&key) == Some(&false);
                    if unanswered && self.suspects(&member, incarnation) {
                        self.run(&mut effects, |foca, output| {
                            foca.announce(member.clone(), output)
                        });
                        self.set(self.times.round_trip, Due::Ask(member, incarnation));
                    }
                }
                Due::Heal => self.heal(&mut effects),
                Due::Compare(round) if round != self.round => {}
                Due::Compare(_) => {
                    self.compare_interval = (self.compare_interval * 2.0).min(self.times.compare);
                    self.set_compare();
                    let own = self.own().name.clone();
                    let others = self
                        .view
                        .present
                        .values()
                        .filter(|member| member.name != own);
                    if let Some(with) = others.choose(&mut self.chance).cloned() {
                        effects.push(Effect::Compare {
                            with,
                            bytes: self.encode_comparison(&Comparison::Digest(self.digest())),
                        });
                    }
                }
            }
        }
        effects
    }

    /// Whether a member is spared when its time to defend itself is over. One that answered meanwhile is there, and its word
    /// that it is has yet to come: it gets another term, and is told what is said of it, as that may have missed it. Only an
    /// answer counts: one that is heard but hears nothing is of no use.
    fn extend_suspicion(&mut self, timer: &Timer<Member>, effects: &mut Vec<Effect>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let key = (member_id.name.clone(), member_id.number, *incarnation);
        let answered = self.suspicions.remove(&key) == Some(true);
        if !self.suspects(member_id, *incarnation) {
            // It has defended itself. The protocol's library would find the term stale, and tell the member all the same that
            // it is dead (it asks only whether the member is known): it would come back under a new number for nothing.
            return true;
        }
        if answered {
            self.doubt(timer.clone(), self.times.suspicion);
            let entry = Entry {
                member: member_id.clone(),
                incarnation: *incarnation,
                standing: Standing::Suspect,
            };
            let bytes = self.encode_comparison(&Comparison::All(vec![entry], false));
            effects.push(Effect::Compare {
                with: member_id.clone(),
                bytes,
            });
        }
        answered
    }

    fn suspects(&self, member: &Member, incarnation: u16) -> bool {
        self.foca.iter_members().any(|known| {
            known.id() == member
                && known.state() == foca::State::Suspect
                && known.incarnation() == incarnation
        })
    }

    /// Gives a member that is doubted time, and asks it until it answers. One that is doubted again for the same reason has its
    /// term already.
    fn doubt(&mut self, timer: Timer<Member>, term: f64) {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = &timer
        else {
            return;
        };
        let (member, incarnation) = (member_id.clone(), *incarnation);
        let key = (member.name.clone(), member.number, incarnation);
        if self.suspicions.contains_key(&key) {
            return;
        }
        self.suspicions.insert(key, false);
        self.set(0.0, Due::Ask(member, incarnation));
        self.set(term, Due::Foca(timer));
    }

    /// Looks for somebody who should be there: configured, or failed of late.
    fn heal(&mut self, effects: &mut Vec<Effect>) {
        let now = self.last;
        let mourned = self.times.mourn;
        self.view.failed.retain(|_, (_, at)| now - *at < mourned);
        let alone = self.view.present.len() <= 1;
        // One that is alone looks for two at a time, and more often.
        let next = self.spread(if alone {
            self.times.probe
        } else {
            self.times.heal
        });
        self.set(next, Due::Heal);
        let failed = self
            .view
            .failed
            .values()
            .map(|(member, _)| Member::unknown(&member.name, member.address));
        let missing = self
            .configured
            .iter()
            .cloned()
            .chain(failed)
            .filter(|member| !self.view.present.contains_key(&member.name));
        for missing in missing.sample(&mut self.chance, if alone { 2 } else { 1 }) {
            let bytes = self.encode_comparison(&Comparison::Digest(self.digest()));
            effects.push(Effect::Compare {
                with: missing.clone(),
                bytes,
            });
            self.run(effects, |foca, output| foca.announce(missing, output));
        }
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        if self.gone {
            return effects;
        }
        self.counters.heard += 1;
        self.counters.heard_bytes += bytes.len() as u64;
        let Some((header, entries)) = scan(bytes).filter(|(_, entries)| self.has_capacity(entries))
        else {
            self.counters.malformed += 1;
            return effects;
        };
        self.heard = true;
        if matches!(
            header.message,
            Message::Ack(_) | Message::ForwardedAck { .. }
        ) && self.probing
        {
            self.probing = false;
            self.self_doubt = self.self_doubt.saturating_sub(1);
        }
        if header.message == Message::Feed {
            let of_it = self
                .suspicions
                .iter_mut()
                .filter(|((name, ..), _)| *name == header.src.name);
            of_it.for_each(|(_, answered)| *answered = true);
        }
        let namesake = header.src.name == self.own().name;
        if namesake && header.src.life != self.own().life {
            effects.push(Effect::Changed(Change::Twin(header.src.clone())));
        }
        let entry = Entry {
            member: header.src.clone(),
            incarnation: 0,
            standing: Standing::Alive,
        };
        self.own_name(entries.iter().chain(std::iter::once(&entry)), &mut effects);
        if self.gone || namesake {
            return effects;
        }
        self.run(&mut effects, |foca, output| foca.handle_data(bytes, output));
        effects
    }

    /// Guards the name. A process that starts takes it over from whoever had it, once; of two that live, the one that
    /// started later keeps it, so that all others settle it the same way by its higher number.
    fn own_name<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Entry>,
        effects: &mut Vec<Effect>,
    ) {
        let name = &self.own().name;
        let of_it = entries.filter(|entry| entry.member.name == *name);
        let Some(other) = of_it.max_by_key(|entry| entry.member.number) else {
            return;
        };
        let own = self.own().clone();
        if other.member.number == own.number && other.standing == Standing::Suspect {
            self.doubt_self(1);
        }
        let same = other.member.life == own.life;
        if other.member.number <= own.number && (same || other.member.number < own.number) {
            return;
        }
        let alive = other.standing != Standing::Down;
        let settled = self.awake > self.settles || self.taken_name;
        // Two that take the name from each other at once end here: lives are drawn, and the greater one goes on.
        if !same
            && alive
            && settled
            && (other.member.number, other.member.life) > (own.number, own.life)
        {
            self.gone = true;
            effects.push(Effect::Changed(Change::Displaced(other.member.clone())));
            return;
        }
        if !same && alive {
            self.taken_name = true;
        }
        let Some(number) = other.member.number.checked_add(1) else {
            return;
        };
        let fresh = Member { number, ..own };
        self.run(effects, |foca, output| foca.change_identity(fresh, output));
    }

    fn has_capacity(&self, entries: &[Entry]) -> bool {
        let known = self.foca.iter_membership_state().len();
        if known + entries.len() <= MAX_MEMBERS {
            return true;
        }
        let names: std::collections::HashSet<&str> = self
            .foca
            .iter_membership_state()
            .map(|member| &*member.id().name)
            .collect();
        let fresh = entries
            .iter()
            .filter(|entry| !names.contains(&*entry.member.name))
            .count();
        known + fresh <= MAX_MEMBERS
    }

    /// Takes the other's part of a comparison in; what to say back, if anything.
    pub fn compare(&mut self, now: f64, bytes: &[u8]) -> (Vec<Effect>, Option<Vec<u8>>) {
        self.advance(now);
        let mut effects = Vec::new();
        if self.gone {
            return (effects, None);
        }
        let reply = match postcard::from_bytes(bytes) {
            Ok(Comparison::Digest(digest)) if digest == self.digest() => None,
            Ok(Comparison::Digest(_)) => {
                self.counters.differed += 1;
                Some(self.encode_comparison(&Comparison::All(self.entries(), true)))
            }
            Ok(Comparison::All(entries, reply))
                if entries.len() <= MAX_MEMBERS && self.has_capacity(&entries) =>
            {
                self.own_name(entries.iter(), &mut effects);
                if self.gone {
                    return (effects, None);
                }
                let members = entries.into_iter().map(Entry::into_foca);
                self.run(&mut effects, |foca, output| {
                    foca.apply_many(members, true, output)
                });
                reply.then(|| self.encode_comparison(&Comparison::All(self.entries(), false)))
            }
            _ => {
                self.counters.malformed += 1;
                None
            }
        };
        (effects, reply)
    }

    fn encode_comparison(&self, what: &Comparison) -> Vec<u8> {
        // A list of plain values can always be written.
        postcard::to_stdvec(what).unwrap_or_default()
    }

    fn entries(&self) -> Vec<Entry> {
        let own = Entry {
            member: self.own().clone(),
            incarnation: 0,
            standing: Standing::Alive,
        };
        let others = self.foca.iter_membership_state().map(Entry::of);
        others.chain((!self.gone).then_some(own)).collect()
    }

    /// What is known of who is there, in a number. Suspicions come and go, and those gone are forgotten at different times:
    /// neither counts.
    fn digest(&self) -> u64 {
        let mut known: Vec<(&str, u64)> = self
            .foca
            .iter_members()
            .map(|member| (&*member.id().name, member.id().number))
            .collect();
        known.push((&self.own().name, self.own().number));
        known.sort_unstable();
        let mut hasher = fnv::FnvHasher::default();
        known.hash(&mut hasher);
        hasher.finish()
    }

    /// Reports how busy this process is, in parts of a thousand, if that is news: every report goes to all, so all together send no
    /// more than [`LOAD_REPORTS_PER_SECOND`] a second, however many they are. One whose load does not change repeats it
    /// seldom, for those who are new.
    pub fn report_load(&mut self, now: f64, load: u16) {
        let apart = 1000.0 / LOAD_REPORTS_PER_SECOND * self.view.present.len() as f64;
        let news = self.last_report.is_none_or(|(at, reported)| {
            now - at >= apart * REPEAT_INTERVALS
                || now - at >= apart && load.abs_diff(reported) >= LOAD_CHANGE
        });
        if !news {
            return;
        }
        self.last_report = Some((now, load));
        self.sequence = self.sequence.wrapping_add(1);
        let own = self.own();
        let report = LoadReport {
            name: own.name.clone(),
            number: own.number,
            sequence: self.sequence,
            load,
        };
        if let Ok(bytes) = postcard::to_stdvec(&report) {
            // It is short and newer than the one before: it is always taken.
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Goes by its own choice and tells some, who tell the others.
    pub fn leave(&mut self, now: f64) -> Vec<Effect> {
        self.advance(now);
        let mut effects = Vec::new();
        if self.gone {
            return effects;
        }
        let own = self.own().clone();
        let leaving = Member {
            leaving: true,
            number: own.number.saturating_add(1),
            ..own
        };
        self.run(&mut effects, |foca, output| {
            foca.change_identity(leaving, output)
        });
        self.run(&mut effects, |foca, output| foca.leave_cluster(output));
        self.gone = true;
        effects
    }

    /// Lets the protocol act, and turns what it wants into effects.
    fn run(
        &mut self,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(
            &mut Foca<Member, Wire, StdRng, Loads>,
            &mut ProtocolOutput,
        ) -> Result<(), foca::Error>,
    ) {
        let (mut output, number) = (ProtocolOutput::default(), self.own().number);
        if let Err(error) = act(&mut self.foca, &mut output) {
            use foca::Error::{
                CustomBroadcast, DataTooBig, Decode, IndirectForOurselves, MalformedPacket,
            };
            if matches!(
                error,
                Decode(_)
                    | DataTooBig
                    | MalformedPacket
                    | CustomBroadcast(_)
                    | IndirectForOurselves
            ) {
                self.counters.malformed += 1;
            }
        }
        for (to, bytes) in output.send {
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            effects.push(Effect::Send { to, bytes });
        }
        for (timer, after) in output.timers {
            // Who doubts itself gives others more time.
            let stretched = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. } => f64::from(1 + self.self_doubt),
                _ => 1.0,
            };
            let after = after.as_secs_f64() * 1000.0 * stretched;
            match timer {
                Timer::ChangeSuspectToDown { .. } => self.doubt(timer, after),
                timer => self.set(after, Due::Foca(timer)),
            }
        }
        for notice in output.notices {
            self.apply_notice(notice, effects);
        }
        if self.own().number != number {
            let own = self.own().clone();
            self.view.present.insert(own.name.clone(), own);
        }
    }

    fn apply_notice(&mut self, notice: Notice, effects: &mut Vec<Effect>) {
        let change = match notice {
            Notice::Up(member) => {
                self.view.failed.remove(&member.name);
                self.view
                    .present
                    .insert(member.name.clone(), member.clone());
                Change::Up(member)
            }
            // One that is active under a new number: it started anew before anybody missed it.
            Notice::Renamed(member) => match self.view.present.get_mut(&member.name) {
                Some(known) if !member.leaving => {
                    *known = member.clone();
                    Change::Up(member)
                }
                _ => return,
            },
            Notice::Down(member) => {
                self.suspicions.retain(|(name, ..), _| *name != member.name);
                if self.view.present.remove(&member.name).is_none() {
                    return;
                }
                if member.leaving {
                    self.counters.left += 1;
                    Change::Left(member)
                } else {
                    self.counters.failed += 1;
                    self.view
                        .failed
                        .insert(member.name.clone(), (member.clone(), self.last));
                    Change::Failed(member)
                }
            }
            Notice::Returned => {
                self.counters.returned += 1;
                return;
            }
        };
        self.view.revision += 1;
        effects.push(Effect::Changed(change));
        // News may have missed this process: once it had time to reach all, what others know is compared soon.
        let soon = self.times.settled_news();
        if self.compare_interval > soon {
            self.compare_interval = soon;
            self.set_compare();
        }
    }
}

/// Reads a datagram without acting on it: who sent it, and what it says of whom.
fn scan(mut bytes: &[u8]) -> Option<(Header<Member>, Vec<Entry>)> {
    let mut wire = Wire;
    let header = wire.decode_header(&mut bytes).ok()?;
    let mut entries = Vec::new();
    if bytes.len() >= 2 && header.message != Message::Broadcast {
        let count = u16::from_be_bytes([bytes[0], bytes[1]]);
        bytes = &bytes[2..];
        for _ in 0..count {
            entries.push(Entry::of(&wire.decode_member(&mut bytes).ok()?));
        }
    }
    Some((header, entries))
}
