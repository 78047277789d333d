//! Unit tests of `links.rs`.

use super::*;
use proptest::prelude::{any, proptest, ProptestConfig as Config};
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

fn bounds() -> Bounds {
    Bounds {
        budget: 12,
        idle_close: 30_000.0,
        doors: 300,
        handshake_price: 0.02,
        connection_price: 0.0,
    }
}

fn links() -> Links<u32> {
    Links::new(bounds(), 7)
}

/// A driver that only notes: what is open, dialling and waiting by what it was told.
#[derive(Default)]
struct Driver {
    effects: Vec<Effect<u32>>,
    /// Where each dial led, in their order, and those under way.
    dials: Vec<u32>,
    begun: Vec<(u32, DialId)>,
    given: Vec<(Ticket, LinkId)>,
    failed: Vec<(Ticket, Why)>,
    closed: Vec<LinkId>,
    wakes: Vec<(u32, Millis)>,
}

impl Driver {
    /// The oldest dial to a backend, which is over with this.
    fn oldest(&mut self, to: u32) -> DialId {
        self.settle();
        let place = self
            .begun
            .iter()
            .position(|(at, _)| *at == to)
            .expect("a dial under way");
        self.begun.remove(place).1
    }

    fn up(&mut self, links: &mut Links<u32>, now: Millis, to: u32, link: u64) {
        let dial = self.oldest(to);
        links.dialled(now, to, dial, LinkId(link), &mut self.effects);
    }

    fn down(&mut self, links: &mut Links<u32>, now: Millis, to: u32, own: bool) {
        let dial = self.oldest(to);
        links.refused(now, to, dial, own, &mut self.effects);
    }

    fn settle(&mut self) {
        for effect in self.effects.drain(..) {
            match effect {
                Effect::Dial(to, dial) => {
                    self.dials.push(to);
                    self.begun.push((to, dial));
                }
                Effect::Give(who, link) => self.given.push((who, link)),
                Effect::Fail(who, why) => self.failed.push((who, why)),
                Effect::Close(link) => self.closed.push(link),
                Effect::Wake(to, at) => self.wakes.push((to, at)),
            }
        }
    }
}

/// Guards what is learnt of idle ages: failures of old links speak against those and older ones, not against younger;
/// a break now and then speaks against none; and what recovers is trusted again.
#[test]
fn ages_at_which_links_break_are_told_from_those_that_hold() {
    let ([young, old, older], mut ages, start) = ([20.0, 200.0, 2000.0], Ages::default(), 1e6);
    for i in 0..20 {
        ages.learn(start, young, i % 10 == 0);
        assert!(ages.hold(start, older), "a tenth broken");
    }
    for _ in 0..3 {
        ages.learn(start, old, true);
        ages.learn(start, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| ages.hold(start, age)),
        [true, false, false]
    );
    let later = start + 8000.0;
    for _ in 0..10 {
        ages.learn(later, old, false);
    }
    assert_eq!(
        [young, old, older].map(|age| ages.hold(later, age)),
        [true; 3]
    );
    // Silence too lets them be tried again.
    assert!(ages.hold(start + 60_000.0, older));
}

/// Guards reuse: the most recently used link is taken first, and one whose answer is just over only where there is no
/// other; what is idle beyond the bound is closed, not taken.
#[test]
fn the_most_recently_used_link_is_taken_first() {
    let (mut links, mut driver) = (
        Links::new(
            Bounds {
                doors: 3,
                ..bounds()
            },
            7,
        ),
        Driver::default(),
    );
    for link in 1..=3u64 {
        assert_eq!(
            links.take(0.0, 1, Ticket(link), false, &mut driver.effects),
            Taken::Waits
        );
    }
    for link in 1..=3u64 {
        driver.up(&mut links, 1.0, 1, link);
    }
    for (link, at) in [(1, 100.0), (2, 200.0), (3, 300.0)] {
        links.freed(at, 1, LinkId(link), &mut driver.effects);
    }
    driver.settle();
    assert_eq!((driver.dials.len(), driver.given.len()), (3, 3));
    assert_eq!(
        links.take(301.0, 1, Ticket(4), false, &mut driver.effects),
        Taken::Kept(LinkId(2), 101)
    );
    assert_eq!(
        links.take(302.0, 1, Ticket(5), false, &mut driver.effects),
        Taken::Kept(LinkId(1), 202)
    );
    assert_eq!(
        links.take(302.5, 1, Ticket(6), false, &mut driver.effects),
        Taken::Kept(LinkId(3), 2)
    );
    links.freed(400.0, 1, LinkId(3), &mut driver.effects);
    assert_eq!(
        links.take(18_500.0, 1, Ticket(7), false, &mut driver.effects),
        Taken::Waits
    );
    links.tidy(18_500.0, &mut driver.effects);
    driver.settle();
    assert_eq!(driver.closed, [LinkId(3)]);
}

/// Guards the dial that is under way: a request that waits takes a link that comes free first, and what the dial brings
/// is kept for the next one; one that leaves loses nothing of it either.
#[test]
fn who_waits_takes_what_is_sooner_and_no_dial_is_wasted() {
    let (mut links, mut driver) = (links(), Driver::default());
    links.take(0.0, 1, Ticket(1), false, &mut driver.effects);
    driver.up(&mut links, 1.0, 1, 1);
    links.take(2.0, 1, Ticket(2), false, &mut driver.effects);
    links.freed(3.0, 1, LinkId(1), &mut driver.effects);
    driver.settle();
    assert_eq!(
        (driver.dials.len(), &driver.given[..]),
        (2, &[(Ticket(1), LinkId(1)), (Ticket(2), LinkId(1))][..])
    );
    driver.up(&mut links, 4.0, 1, 2);
    assert_eq!(
        links.take(10.0, 1, Ticket(3), false, &mut driver.effects),
        Taken::Kept(LinkId(2), 6)
    );
    // One breaks, so that there is room for another dial.
    links.lost(10.5, 1, &mut driver.effects);
    links.take(11.0, 1, Ticket(4), false, &mut driver.effects);
    links.left(12.0, 1, Ticket(4));
    driver.up(&mut links, 13.0, 1, 3);
    assert_eq!(
        links.take(20.0, 1, Ticket(5), false, &mut driver.effects),
        Taken::Kept(LinkId(3), 7)
    );
}

/// Guards a backend against a burst of dials: few are under way at a time, and no more are held than the mean need and
/// chance ask for; those beyond wait for what comes free.
#[test]
fn a_burst_dials_few_at_a_time_and_no_more_than_the_need() {
    let (mut links, mut driver) = (
        Links::new(
            Bounds {
                budget: 100,
                ..bounds()
            },
            7,
        ),
        Driver::default(),
    );
    for who in 0..40 {
        assert_eq!(
            links.take(0.0, 1, Ticket(who), false, &mut driver.effects),
            Taken::Waits
        );
    }
    driver.settle();
    assert_eq!(driver.dials.len(), AT_ONCE);
    let mut up = 0;
    while up < driver.dials.len() {
        driver.up(&mut links, 1.0, 1, up as u64);
        up += 1;
        driver.settle();
    }
    assert_eq!(
        (driver.dials.len(), driver.given.len()),
        (2, 2),
        "no need has been seen yet"
    );
    // It lasts: the need is learnt, and more is held.
    for now in 1..200 {
        let link = driver.given.last().expect("a link").1;
        links.freed(f64::from(now) * 100.0, 1, link, &mut driver.effects);
        links.take(
            f64::from(now) * 100.0,
            1,
            Ticket(1000 + u64::from(now as u32)),
            false,
            &mut driver.effects,
        );
        driver.settle();
        while up < driver.dials.len() {
            driver.up(&mut links, f64::from(now) * 100.0, 1, up as u64);
            up += 1;
            driver.settle();
        }
    }
    assert!(
        (20..=60).contains(&driver.dials.len()),
        "{} dials for a need of forty",
        driver.dials.len()
    );
}

/// Guards a table that all front doors share: a dial refused beside links that work halves what is held there, the
/// next comes after a while, and the bound grows by one link in a while.
#[test]
fn a_full_table_halves_what_is_held_and_growth_is_slow() {
    let (mut links, mut driver) = (links(), Driver::default());
    for who in 0..8 {
        links.take(0.0, 1, Ticket(who), false, &mut driver.effects);
        links.shelves.get_mut(&1).expect("a shelf").need = 8.0;
    }
    for link in 0..6 {
        driver.up(&mut links, 1.0, 1, link);
    }
    driver.settle();
    driver.down(&mut links, 2.0, 1, false);
    driver.down(&mut links, 2.0, 1, false);
    driver.settle();
    assert_eq!(
        driver.failed,
        [(Ticket(6), Why::Full), (Ticket(7), Why::Full)]
    );
    let shelf = &links.shelves[&1];
    assert_eq!(
        [2.0, 2.0 + GROW, 2.0 + 4.0 * GROW].map(|at| shelf.limit(at, 2.0)),
        [3, 4, 7]
    );
    assert_eq!(
        links.take(3.0, 1, Ticket(20), false, &mut driver.effects),
        Taken::Waits
    );
    assert_eq!(driver.effects, [], "a dial to a full table");
}

/// Guards the classes of refusal: nothing there fails all that wait; a shortage of this front door's own is told as that.
#[test]
fn a_dial_refused_where_nothing_works_fails_all_that_wait() {
    for (own, why) in [(false, Why::Unreachable), (true, Why::Own)] {
        let (mut links, mut driver) = (links(), Driver::default());
        for who in 0..3 {
            links.take(0.0, 1, Ticket(who), false, &mut driver.effects);
        }
        driver.down(&mut links, 1.0, 1, own);
        driver.settle();
        assert_eq!(driver.dials, [1, 1], "dialled again");
        driver.down(&mut links, 2.0, 1, own);
        assert_eq!(driver.failed, [0, 1, 2].map(|who| (Ticket(who), why)));
        assert_eq!(links.open(), 0);
    }
}

/// Guards against links to what a backend was before: those idle and those under way when its address changes or it
/// drains are closed, and who waits is told at once.
#[test]
fn what_was_dialled_before_a_change_is_not_used_after_it() {
    for late in [false, true] {
        let (mut links, mut driver) = (links(), Driver::default());
        links.take(0.0, 1, Ticket(1), false, &mut driver.effects);
        links.close(1, true, &mut driver.effects);
        links.take(1.0, 1, Ticket(2), false, &mut driver.effects);
        driver.settle();
        let [before, after] = [driver.begun[0].1, driver.begun[1].1];
        // In whichever order they come up: the one begun before the change is told by its number.
        let order = if late {
            [after, before]
        } else {
            [before, after]
        };
        for (dial, link) in order.into_iter().zip(1..) {
            links.dialled(2.0, 1, dial, LinkId(link), &mut driver.effects);
        }
        driver.settle();
        let [stale, good] = if late { [2, 1] } else { [1, 2] };
        assert_eq!(driver.failed, [(Ticket(1), Why::Gone)]);
        assert_eq!(
            (driver.closed, driver.given),
            (vec![LinkId(stale)], vec![(Ticket(2), LinkId(good))])
        );
        assert_eq!(links.open(), 1);
    }
}

/// Guards unsafe requests: none goes out on a link of an age at which others have broken of late.
#[test]
fn what_must_run_once_takes_no_link_of_an_age_in_doubt() {
    let (mut links, mut driver) = (links(), Driver::default());
    for _ in 0..4 {
        links.learn(5000.0, 5000.0, true);
    }
    links.take(0.0, 1, Ticket(1), true, &mut driver.effects);
    driver.up(&mut links, 0.0, 1, 1);
    links.freed(0.0, 1, LinkId(1), &mut driver.effects);
    assert_eq!(
        links.take(6000.0, 1, Ticket(2), true, &mut driver.effects),
        Taken::Waits
    );
    assert_eq!(
        links.take(6000.0, 1, Ticket(3), false, &mut driver.effects),
        Taken::Kept(LinkId(1), 6000)
    );
}

/// Guards a backend that a fleet hears of at one instant: the dials ahead of traffic are spread over the time they
/// are given, each front door at its own, and a link that came by other ways needs none.
#[test]
fn dials_ahead_of_traffic_are_spread() {
    let mut tenths = [0; 10];
    for door in 0..300 {
        let (unpriced, mut driver) = (
            Bounds {
                handshake_price: 0.0,
                ..bounds()
            },
            Driver::default(),
        );
        let mut links = Links::<u32>::new(unpriced, door);
        links.ahead(0.0, 1, 1000.0, &mut driver.effects);
        links.ahead(0.0, 1, 1000.0, &mut driver.effects);
        driver.settle();
        let [(1, at)] = driver.wakes[..] else {
            panic!("{:?}", driver.wakes)
        };
        tenths[(at / 100.0) as usize] += 1;
        if door % 2 == 0 {
            links.take(at / 2.0, 1, Ticket(1), false, &mut driver.effects);
            driver.up(&mut links, at / 2.0, 1, 1);
        }
        links.wake(at, 1, &mut driver.effects);
        driver.settle();
        assert_eq!(driver.dials, [1]);
        let (mut priced, mut none) = (Links::<u32>::new(bounds(), door), Vec::new());
        priced.ahead(0.0, 1, 1000.0, &mut none);
        assert_eq!(none, [], "a priced handshake on a guess");
    }
    assert!(
        tenths.iter().all(|count| (10..=60).contains(count)),
        "{tenths:?}"
    );
}

/// Guards prices: where open links cost and handshakes are cheap, none is kept for longer than it is worth.
#[test]
fn a_link_is_kept_no_longer_than_it_is_worth() {
    let mut links: Links<u32> = Links::new(
        Bounds {
            connection_price: 1.0,
            ..bounds()
        },
        7,
    );
    assert_eq!(links.longest_idle(), 18_000.0);
    for who in 0..1000u32 {
        links.take(
            f64::from(who) * 50.0,
            who % 10,
            Ticket(u64::from(who)),
            false,
            &mut Vec::new(),
        );
    }
    // 20 a second at 300 front doors, ten backends: 0.02 * 100 * 10 / 6000 s.
    assert!(
        (links.longest_idle() - 3.3).abs() < 0.3,
        "{}",
        links.longest_idle()
    );
    links.bounds.connection_price = 0.0;
    assert_eq!(links.longest_idle(), 18_000.0);
}

/// What a driver knows of a link or a dial, to check the core's sums against.
fn churn(seed: u64, steps: u32) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut pick = move |n: u32| rng.next_u32() % n;
    let unpriced = Bounds {
        handshake_price: 0.0,
        ..bounds()
    };
    let (mut links, mut driver, mut now) = (Links::new(unpriced, seed), Driver::default(), 0.0);
    let (mut number, mut dialling) = (0u64, Vec::<(u32, DialId)>::new());
    let (mut busy, mut idle) = (Vec::<(u32, LinkId)>::new(), BTreeSet::<LinkId>::new());
    let mut waiting = Vec::<(u32, Ticket)>::new();
    for step in 0..steps {
        now += f64::from(pick(200));
        number += 1;
        // Backends come and go: an id is of use for some hundred steps.
        let to = step / 300 * 3 + pick(3);
        match pick(10) {
            0..=3 => match links.take(now, to, Ticket(number), pick(2) == 0, &mut driver.effects) {
                Taken::Kept(link, _) => {
                    assert!(idle.remove(&link), "a link that was not idle");
                    busy.push((to, link));
                }
                Taken::Waits => waiting.push((to, Ticket(number))),
                Taken::NoRoom => assert!(links.open() >= bounds().budget),
            },
            4..=5 if !dialling.is_empty() => {
                let at = pick(dialling.len() as u32) as usize;
                let (to, dial) = dialling.swap_remove(at);
                if pick(3) > 0 {
                    idle.insert(LinkId(number));
                    links.dialled(now, to, dial, LinkId(number), &mut driver.effects);
                } else {
                    links.refused(now, to, dial, pick(4) == 0, &mut driver.effects);
                }
            }
            6..=7 if !busy.is_empty() => {
                let (to, link) = busy.swap_remove(pick(busy.len() as u32) as usize);
                if pick(4) > 0 {
                    idle.insert(link);
                    links.freed(now, to, link, &mut driver.effects);
                } else {
                    links.lost(now, to, &mut driver.effects);
                }
            }
            8 if !waiting.is_empty() => {
                let (to, who) = waiting.swap_remove(pick(waiting.len() as u32) as usize);
                links.left(now, to, who);
            }
            _ => match pick(6) {
                0 => links.close(to, pick(2) == 0, &mut driver.effects),
                1 => links.forget(to, &mut driver.effects),
                2 => links.ahead(now, to, 500.0, &mut driver.effects),
                3 => links.crowded(now, to),
                _ => links.tidy(now, &mut driver.effects),
            },
        }
        let due: Vec<_> = driver
            .wakes
            .iter()
            .filter(|(_, at)| *at <= now)
            .copied()
            .collect();
        driver.wakes.retain(|(_, at)| *at > now);
        due.into_iter()
            .for_each(|(to, _)| links.wake(now, to, &mut driver.effects));
        driver.settle();
        dialling.append(&mut driver.begun);
        for (who, link) in driver.given.drain(..) {
            let place = waiting
                .iter()
                .position(|(_, waits)| *waits == who)
                .expect("one that waits");
            let (to, _) = waiting.swap_remove(place);
            assert!(idle.remove(&link), "a link given twice");
            busy.push((to, link));
        }
        for (who, _) in driver.failed.drain(..) {
            let place = waiting
                .iter()
                .position(|(_, waits)| *waits == who)
                .expect("one that waits");
            waiting.swap_remove(place);
        }
        for link in driver.closed.drain(..) {
            assert!(
                idle.remove(&link),
                "a link closed that carries something or is gone"
            );
        }
        assert_eq!(
            links.open(),
            dialling.len() + busy.len() + idle.len(),
            "step {step}"
        );
        assert!(
            links.open() <= bounds().budget,
            "over the budget of descriptors"
        );
        for (to, who) in &waiting {
            let helped = dialling.iter().any(|(at, _)| at == to)
                || busy.iter().any(|(at, _)| at == to)
                || driver.wakes.iter().any(|(at, _)| at == to);
            let room = links.open() < bounds().budget;
            assert!(helped || !room, "{who:?} waits for nothing");
        }
        assert!(links.shelves() <= 64, "{} shelves", links.shelves());
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards the sums: whatever happens, in whatever order, each link and each wait is accounted for once, the budget of
    /// descriptors holds, nobody waits for what cannot come, and backends that are gone leave nothing behind.
    #[test]
    fn every_link_and_every_wait_is_accounted_for(seed in any::<u64>()) {
        churn(seed, 600);
    }
}

/// Guards memory over an hour and more of simulated churn: ten steps a second, backends replaced every 30 s.
#[test]
fn an_hour_of_churn_leaves_nothing_behind() {
    churn(1, 36_000);
}
