//! Order and admission of the calls of client accounts, in virtual time.

use hibiscusroad::{
    Class, ErrorKind, Incarnation, RequestId,
    contention::{Contention, Mode},
    route::{
        AccountKey, Call, EndpointKey, EndpointSpec, Outcome, Router, ServiceKey, ServiceSpec, Step,
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const CLASS: Class = Class::Interactive;
const SLOTS: u32 = 8;
/// Service time of a call of 1 token, in milliseconds.
const UNIT_MS: u64 = 10;
const NO_DEADLINE_MS: u64 = 3_000_000;

#[derive(Clone, Copy)]
struct Sent {
    account: usize,
    tokens: u32,
    at: Instant,
    deadline: Instant,
}

/// A service of one endpoint, and the calls of accounts.
struct World {
    now: Instant,
    router: Router,
    service: ServiceKey,
    endpoint: EndpointKey,
    calls: HashMap<RequestId, Sent>,
    waiting: HashMap<usize, BTreeSet<(Instant, RequestId)>>,
    ends: BTreeMap<(Instant, RequestId), EndpointKey>,
    /// Work that was started, by account, in milliseconds.
    served: HashMap<usize, u64>,
    /// Longest waits by account.
    waits: HashMap<usize, Duration>,
    refused: Vec<(usize, ErrorKind, Duration)>,
    /// Calls that were refused only when it was too late to start them.
    late: usize,
    steps: Vec<Step>,
    has_keys: bool,
    /// Whether accounts have an order of their own.
    is_fair: bool,
    /// An account whose calls take four times as long as others of their size.
    slow_account: Option<usize>,
}

impl World {
    fn new(mode: Mode, max_queued: usize) -> Self {
        let router = Router::new("senec", 7).contention(Contention::new(mode, false));
        Self::with_router(router, max_queued)
    }

    fn with_router(mut router: Router, max_queued: usize) -> Self {
        let now = Instant::now();
        let spec = ServiceSpec::new().max_queued(max_queued);
        let service = router.set_service(now, "hut-desk", spec);
        let spec = EndpointSpec::new("hut-desk-1", "senec").limit(SLOTS);
        let endpoint = router.add_endpoint(now, service, spec);
        let mut world = Self {
            now,
            router,
            service,
            endpoint,
            calls: HashMap::new(),
            waiting: HashMap::new(),
            ends: BTreeMap::new(),
            served: HashMap::new(),
            waits: HashMap::new(),
            refused: Vec::new(),
            late: 0,
            steps: Vec::new(),
            has_keys: true,
            is_fair: true,
            slow_account: None,
        };
        // Service times of all sizes are known.
        for tokens in [1, 2, 4] {
            for _ in 0..64 {
                world.send(usize::MAX, tokens, NO_DEADLINE_MS);
                world.run_for(100);
            }
        }
        world.steps.clear();
        world
    }

    /// Sends a call; accounts from 10,000 on have a lower priority.
    fn send(&mut self, account: usize, tokens: u32, timeout_ms: u64) {
        let seq = self.calls.len() as u64 + 1;
        let id = RequestId {
            origin: Incarnation(1),
            seq,
        };
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let mut call = Call::new(id, self.service, CLASS, deadline)
            .tokens(tokens)
            .no_hedge(true);
        if self.has_keys {
            call = call.account(key(account));
        }
        let sent = Sent {
            account,
            tokens,
            at: self.now,
            deadline,
        };
        self.calls.insert(id, sent);
        let group = self.group(account);
        self.waiting
            .entry(group)
            .or_default()
            .insert((deadline, id));
        let (had_place, refused) = (!self.is_full(), self.refused.len());
        self.router.submit(self.now, call);
        self.apply_steps();
        let had_time = timeout_ms > 2 * UNIT_MS * u64::from(tokens);
        let is_fault = had_place && had_time && self.refused.len() > refused;
        assert!(
            !is_fault,
            "refused with free slots: {:?}",
            self.refused.last()
        );
    }

    fn run_for(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        loop {
            let end = self.ends.keys().next().copied();
            let due = self.router.next_due();
            let next = end.map(|(at, _)| at).into_iter().chain(due).min();
            let Some(next) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if let Some((at, id)) = end.filter(|(at, _)| *at <= self.now) {
                let endpoint = self.ends.remove(&(at, id)).unwrap();
                self.router
                    .finish(self.now, id, endpoint, Outcome::Answered);
            } else {
                self.router.tick(self.now);
            }
            self.apply_steps();
        }
        self.now = until;
    }

    fn apply_steps(&mut self) {
        while let Some(step) = self.router.next_step() {
            self.steps.push(step);
            match step {
                Step::Start { id, endpoint, .. } => {
                    let sent = self.calls[&id];
                    let group = self.group(sent.account);
                    let waiting = self.waiting.get_mut(&group).unwrap();
                    assert_eq!(waiting.pop_first(), Some((sent.deadline, id)), "not EDF");
                    let factor = if self.slow_account == Some(sent.account) {
                        4
                    } else {
                        1
                    };
                    let work = UNIT_MS * u64::from(sent.tokens) * factor;
                    let end = self.now + Duration::from_millis(work);
                    self.ends.insert((end, id), endpoint);
                    *self.served.entry(sent.account).or_default() += work;
                    let wait = self.waits.entry(sent.account).or_default();
                    *wait = (*wait).max(self.now - sent.at);
                }
                Step::Refuse {
                    id,
                    kind,
                    retry_after,
                } => {
                    let sent = self.calls[&id];
                    let group = self.group(sent.account);
                    let waiting = self.waiting.get_mut(&group).unwrap();
                    assert!(waiting.remove(&(sent.deadline, id)));
                    let time_left = sent.deadline.saturating_duration_since(self.now);
                    self.late += usize::from(time_left <= Duration::from_millis(UNIT_MS * 3 / 2));
                    self.refused.push((sent.account, kind, retry_after));
                }
                Step::Cancel { .. } => panic!("nothing is cancelled here"),
            }
        }
        let queued = self.router.queued(self.service, CLASS);
        assert!(
            queued == 0 || self.is_full(),
            "calls wait beside free slots"
        );
        let accounts = self.router.waiting_accounts().count();
        assert!(accounts <= queued, "{accounts} accounts, {queued} calls");
    }

    fn group(&self, account: usize) -> usize {
        if self.is_fair { account } else { 0 }
    }

    fn is_full(&self) -> bool {
        let (running, limit) = self.router.load(self.endpoint).unwrap();
        running >= limit
    }

    fn served(&self, account: usize) -> u64 {
        self.served.get(&account).copied().unwrap_or(0)
    }

    fn refusals_of(&self, account: usize) -> usize {
        let refused = self.refused.iter();
        refused.filter(|(other, ..)| *other == account).count()
    }
}

fn key(account: usize) -> AccountKey {
    let priority = u8::from(account >= 10_000) * 3;
    AccountKey::new(Some(&format!("account-{account}")), priority)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against an account under its fair share while another has more, and (in
    /// `apply_steps`) against idle slots beside waiting calls, refusals beside free slots,
    /// another order than by deadline within an account, and memory for accounts that have
    /// nothing waiting.
    #[test]
    fn accounts_share_by_work(
        loads in prop::collection::vec((1..60u64, 0..3u32, 50..2_000u64), 2..8),
    ) {
        let mut world = World::new(Mode::On, 100_000);
        let mut offered = vec![0; loads.len()];
        for round in 0..60u64 {
            for (account, (per_second, size, timeout_ms)) in loads.iter().enumerate() {
                let tokens = 1 << size;
                // Loads of 0.1 to 24 times the capacity; deadlines within an account vary.
                for n in 0..*per_second {
                    let timeout_ms = 5_000 + timeout_ms * ((n * 7 + round) % 5);
                    world.send(account, tokens, timeout_ms);
                    offered[account] += UNIT_MS * u64::from(tokens);
                }
            }
            world.run_for(50);
        }
        let served: Vec<u64> = (0..loads.len()).map(|account| world.served(account)).collect();
        let total: u64 = served.iter().sum();
        // One call of the largest size for each slot, and a twentieth for what is estimated.
        let tolerance = 4 * UNIT_MS * u64::from(SLOTS) + total / 20;
        for (account, own) in served.iter().enumerate() {
            let has_all = *own == offered[account];
            let most = *served.iter().max().unwrap();
            prop_assert!(has_all || own + tolerance >= most, "{served:?} of {offered:?}");
        }
        world.run_for(20_000);
        prop_assert_eq!(world.router.waiting_accounts().count(), 0);
    }

    /// Guards against any change of order, admission, refusals and `Retry-After` for services
    /// without contention, and for callers without accounts.
    #[test]
    fn nothing_changes_without_contention_or_accounts(
        calls in prop::collection::vec((0..6usize, 0..3u32, 5..400u64, 0..12u64), 1..200),
        max_queued in 1..40usize,
    ) {
        let run = |mode, has_keys| {
            let mut world = World::new(mode, max_queued);
            (world.has_keys, world.is_fair) = (has_keys, false);
            for (account, size, timeout_ms, pause_ms) in &calls {
                world.send(*account, 1 << size, *timeout_ms);
                world.run_for(*pause_ms);
            }
            world.run_for(1_000);
            world.steps
        };
        let before = run(Mode::Off, false);
        prop_assert_eq!(&run(Mode::Off, true), &before);
        prop_assert_eq!(&run(Mode::On, false), &before);
        prop_assert_eq!(&run(Mode::Auto, true), &before);
    }
}

// Guards against a share, a wait or refusals of a small account that depend on the number of
// accounts, and on the backlog of a large one.
#[test]
fn small_account_does_not_wait_for_the_backlog_of_another() {
    let wait_beside = |backlog: usize, timeout_ms: u64| {
        let mut world = World::new(Mode::On, 256);
        for _ in 0..10 {
            for _ in 0..backlog {
                world.send(0, 1, timeout_ms);
            }
            world.send(1, 1, 60);
            world.run_for(100);
        }
        assert_eq!(world.refusals_of(1), 0, "beside {backlog} calls");
        (world.waits[&1], world.refusals_of(0))
    };
    let (least, _) = wait_beside(20, 2_000);
    for backlog in [100, 1_000] {
        let (wait, refused) = wait_beside(backlog, 300);
        assert!(wait <= least + Duration::from_millis(UNIT_MS), "{wait:?}");
        assert!(
            refused > 0,
            "the backlog of {backlog} calls was not refused"
        );
    }
}

// Guards against shares by number of calls, if the calls of one account take longer than what
// is known of their class and size.
#[test]
fn accounts_share_by_the_time_that_calls_take() {
    let mut world = World::new(Mode::On, 100_000);
    world.slow_account = Some(0);
    for _ in 0..1_000 {
        world.send(0, 1, NO_DEADLINE_MS);
        world.send(1, 1, NO_DEADLINE_MS);
    }
    world.run_for(1_000);
    let [slow, quick] = [0, 1].map(|account| world.served(account));
    assert!(
        slow * 10 < quick * 12 && quick * 10 < slow * 12,
        "{slow} and {quick} ms"
    );
}

// Guards against shares that change with the number of accounts.
#[test]
fn shares_hold_for_any_number_of_accounts() {
    for accounts in [10, 100, 1_000] {
        let mut world = World::new(Mode::On, 1_000_000);
        // One account in ten sends twenty times as much as the others.
        for account in 0..accounts {
            for _ in 0..if account % 10 == 0 { 60 } else { 3 } {
                world.send(account, 1, NO_DEADLINE_MS);
            }
        }
        let before = world.served.clone();
        world.run_for(UNIT_MS * 2 * accounts as u64 / u64::from(SLOTS));
        for account in 0..accounts {
            let before = before.get(&account).copied().unwrap_or(0);
            let calls = (world.served(account) - before) / UNIT_MS;
            assert!(
                (1..=4).contains(&calls),
                "{calls} of {account} of {accounts}"
            );
        }
    }
}

// Guards against a call of low priority before one of high priority, and against refusing the
// latter because the former would be late.
#[test]
fn priority_goes_first() {
    let mut world = World::new(Mode::On, 256);
    for _ in 0..200 {
        world.send(10_000, 1, 220);
    }
    let waiting = world.router.queued(world.service, CLASS);
    let admitted = 200 - world.refusals_of(10_000);
    for _ in 0..waiting {
        world.send(0, 1, 220);
    }
    assert_eq!(world.refusals_of(0), 0);
    // What gives way is told at once, not at its deadline.
    assert!(world.refusals_of(10_000) > 200 - admitted);
    let before = world.served(10_000);
    world.run_for(30);
    assert_eq!(world.served(10_000), before);
    assert!(world.served(0) > 0);
}

// Guards against a queue that a large account fills up for all.
#[test]
fn full_queue_has_places_for_small_accounts() {
    let mut world = World::new(Mode::On, 20);
    for _ in 0..100 {
        world.send(0, 1, NO_DEADLINE_MS);
    }
    for _ in 0..5 {
        world.send(1, 1, NO_DEADLINE_MS);
    }
    assert_eq!(world.refusals_of(1), 0);
    assert_eq!(world.router.queued(world.service, CLASS), 20);
}

// Guards against admitting calls that then wait in vain: those that can't be answered are
// refused at once, or as soon as a call of a smaller account makes them late.
#[test]
fn few_calls_of_a_flood_wait_in_vain() {
    let mut world = World::new(Mode::On, 256);
    for round in 0..2_000 {
        // The flood alone is twice the capacity.
        for _ in 0..8 {
            world.send(0, 1, 300);
        }
        if round % 2 == 0 {
            world.send(1 + round / 2 % 3, 1, 300);
        }
        world.run_for(UNIT_MS / 2);
    }
    let (sent, late) = (world.calls.len(), world.late);
    assert!(late * 100 < sent, "{late} of {sent} calls");
    assert_eq!(
        world.refusals_of(1) + world.refusals_of(2) + world.refusals_of(3),
        0
    );
    // What the others leave is the flood's.
    let capacity = 10_000 * u64::from(SLOTS);
    let served: u64 = (0..4).map(|account| world.served(account)).sum();
    assert!(served * 100 > capacity * 99, "{served} of {capacity} ms");
}

// Guards against admitting calls of a low priority that calls of a higher one, yet to come, make
// late: a late call also raises the margin for all.
#[test]
fn low_priority_is_not_admitted_in_vain() {
    let mut world = World::new(Mode::On, 256);
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..20_000 {
        // In the mean 80 % and 50 % of the capacity, in groups of three.
        for (account, probability) in [(0, 0.213), (10_000, 0.133)] {
            for _ in 0..if rng.random_bool(probability) { 3 } else { 0 } {
                world.send(account, 1, 300);
            }
        }
        world.run_for(1);
    }
    let (sent, late) = (world.calls.len(), world.late);
    assert!(late * 150 < sent, "{late} of {sent} calls");
    assert!(
        world.refusals_of(0) * 500 < sent,
        "{}",
        world.refusals_of(0)
    );
}

// Guards against refusing calls of a small account after a loss of capacity, because a large
// one has more waiting than can be answered.
#[test]
fn loss_of_capacity_is_borne_by_the_backlog() {
    let mut world = World::new(Mode::On, 256);
    let spec = EndpointSpec::new("hut-desk-2", "senec").limit(SLOTS);
    let second = world.router.add_endpoint(world.now, world.service, spec);
    for _ in 0..200 {
        world.send(0, 1, 150);
    }
    for _ in 0..8 {
        world.send(1, 1, 150);
    }
    let refused = world.refused.len();
    world.router.set_accepting(world.now, second, false);
    world.apply_steps();
    assert!(world.refused.len() > refused, "nothing is refused");
    assert_eq!(world.refusals_of(1), 0);
}

// Guards against `Retry-After` values of a small account that follow the backlog of another,
// and of a large one that don't follow its own.
#[test]
fn retry_after_follows_the_own_backlog() {
    let mut world = World::new(Mode::On, 100_000);
    for _ in 0..2_000 {
        world.send(0, 1, NO_DEADLINE_MS);
    }
    // Less than the time of one call.
    world.send(1, 1, 9);
    world.send(0, 1, 9);
    let [(_, _, small), (_, _, large)] = world.refused[..] else {
        panic!("{:?}", world.refused);
    };
    assert!(small < Duration::from_millis(400), "{small:?}");
    assert!(large > Duration::from_secs(2), "{large:?}");
}

// Guards against a limit that refuses calls while no other account waits, and against one that
// lets a flood hold or wait for more than its part.
#[test]
fn account_share_limits_places_while_others_wait() {
    let contention = Contention::new(Mode::On, false);
    let router = Router::new("senec", 7).contention(contention);
    let mut world = World::with_router(router.account_share(Some(50)), 256);
    for _ in 0..20 {
        world.send(0, 1, NO_DEADLINE_MS);
    }
    assert!(world.refused.is_empty());
    for _ in 0..6 {
        world.send(1, 1, NO_DEADLINE_MS);
    }
    world.send(0, 1, NO_DEADLINE_MS);
    let kinds: Vec<_> = world
        .refused
        .iter()
        .map(|(a, kind, _)| (*a, *kind))
        .collect();
    let share = ErrorKind::AccountShare;
    assert_eq!(kinds, [(1, share), (1, share), (0, share)]);
    // The flood holds all slots, so the next four go to the other account.
    world.run_for(UNIT_MS);
    assert_eq!(world.served(1), 4 * UNIT_MS);
}
