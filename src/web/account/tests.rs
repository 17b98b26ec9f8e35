//! Tests of the account of callers, in virtual time.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, quickcheck};

use super::{Account, Capacity, ConnectionId, Exhausted, Opened};

/// Limits of the tests: small, so that random schedules reach them.
const CAPACITY: Capacity = Capacity {
    connections: 5,
    overflow: 2,
    pool: 100,
    reserve: 20,
};

/// Something that a caller, its connection or its request does.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Begin,
    /// The request needs so many bytes of the pool in all.
    Grow(usize),
    EndReading,
    /// The request that is being handled takes so many bytes more, and is small or not.
    Take(usize, bool),
    EndRequest,
    Close,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let bytes = usize::arbitrary(g) % (CAPACITY.pool + CAPACITY.pool / 4);
        let steps = [
            Self::Open,
            Self::Open,
            Self::Begin,
            Self::Grow(bytes),
            Self::Grow(bytes),
            Self::EndReading,
            Self::Take(bytes, bool::arbitrary(g)),
            Self::EndRequest,
            Self::Close,
        ];
        *g.choose(&steps).expect("there are steps")
    }
}

/// What the test knows of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    reading: bool,
    handling: bool,
    /// Bytes of its incomplete request.
    pooled: usize,
    /// Bytes of its request that is being handled.
    charged: usize,
}

/// An account, and what it should contain.
struct Model {
    account: Account,
    known: BTreeMap<ConnectionId, Known>,
    now: u64,
}

impl Model {
    fn new() -> Self {
        Self {
            account: Account::new(CAPACITY),
            known: BTreeMap::new(),
            now: 0,
        }
    }

    /// Applies a step to one of the connections.
    fn apply(&mut self, step: Step, pick: usize) {
        self.now += 1;
        let ids: Vec<ConnectionId> = self.known.keys().copied().collect();
        if matches!(step, Step::Open) {
            return self.open();
        }
        let Some(id) = ids.get(pick % ids.len().max(1)).copied() else {
            return;
        };
        let known = self.known[&id];
        match step {
            Step::Begin if !known.reading && !known.handling => {
                self.account.begin_request(id, self.now);
                self.set(id, |k| k.reading = true);
            }
            Step::Grow(bytes) if known.reading => self.grow(id, bytes),
            Step::EndReading if known.reading => {
                let charged = self.account.end_reading(id, self.now);
                assert_eq!(charged, known.pooled);
                self.set(id, |k| {
                    *k = Known {
                        handling: true,
                        charged,
                        ..Known::default()
                    }
                });
            }
            Step::Take(bytes, small) if known.handling => self.take(id, bytes, small),
            Step::EndRequest if self.account.is_retired(id) => self.close(id),
            Step::EndRequest if known.handling => {
                self.account.release(known.charged);
                self.account.end_request(id, self.now);
                self.set(id, |k| *k = Known::default());
            }
            Step::Close => self.close(id),
            _ => {}
        }
    }

    fn open(&mut self) {
        let all_handling = self.known.values().all(|k| k.handling);
        let full = self.known.len() >= CAPACITY.connections;
        let retired = self.retired();
        match self.account.open(self.now) {
            Ok(opened) => {
                let makes_room = opened.evicted.is_some() || opened.retires;
                assert_eq!(makes_room, full, "only a full account makes room");
                assert!(!opened.retires || all_handling, "only the last resort");
                assert_eq!(self.retired(), retired + usize::from(opened.retires));
                self.forget(opened.evicted.as_slice());
                self.known.insert(opened.id, Known::default());
            }
            Err(Exhausted) => {
                let most = CAPACITY.connections + CAPACITY.overflow;
                assert!(
                    all_handling && self.known.len() == most,
                    "a new connection finds room"
                );
            }
        }
    }

    fn retired(&self) -> usize {
        let ids = self.known.keys();
        ids.filter(|id| self.account.is_retired(**id)).count()
    }

    fn grow(&mut self, id: ConnectionId, bytes: usize) {
        self.set(id, |k| k.pooled = bytes);
        match self.account.resize(id, bytes) {
            Ok(evicted) => {
                assert!(!evicted.contains(&id));
                self.forget(&evicted);
            }
            Err(Exhausted) => {
                self.known.remove(&id);
                // All that are left of those with bytes began later, or are being handled.
                self.known
                    .retain(|id, _| self.account.connections.contains_key(id));
            }
        }
    }

    fn take(&mut self, id: ConnectionId, bytes: usize, small: bool) {
        let charged: usize = self.known.values().map(|k| k.charged).sum();
        let limit = CAPACITY.pool + if small { CAPACITY.reserve } else { 0 };
        match self.account.take(bytes, small) {
            Ok(evicted) => {
                self.forget(&evicted);
                self.set(id, |k| k.charged += bytes);
            }
            Err(Exhausted) => assert!(charged + bytes > limit, "incomplete requests make way"),
        }
    }

    /// Closes a connection as its task does, with the charges of its request.
    fn close(&mut self, id: ConnectionId) {
        if let Some(known) = self.known.remove(&id) {
            self.account.release(known.charged);
            self.account.close(id);
        }
    }

    fn set(&mut self, id: ConnectionId, change: impl FnOnce(&mut Known)) {
        change(self.known.get_mut(&id).expect("a known connection"));
    }

    /// Checks that evicted connections were not being handled, and forgets them.
    fn forget(&mut self, evicted: &[ConnectionId]) {
        for id in evicted {
            let known = self
                .known
                .remove(id)
                .expect("an evicted connection was open");
            assert!(!known.handling, "a request that was read is not evicted");
            // The task of an evicted connection closes it later.
            self.account.close(*id);
        }
    }

    fn check(&self) {
        assert!(self.account.connections() <= CAPACITY.connections + CAPACITY.overflow);
        assert!(self.account.pooled() <= CAPACITY.pool + CAPACITY.reserve);
        let ids: Vec<_> = self.account.connections.keys().collect();
        assert_eq!(ids, self.known.keys().collect::<Vec<_>>());
        let bytes: usize = self.known.values().map(|k| k.pooled + k.charged).sum();
        assert_eq!(self.account.pooled(), bytes);
    }
}

quickcheck! {
    fn limits_hold_in_any_order_of_events(steps: Vec<(Step, usize)>) -> bool {
        let mut model = Model::new();
        for (step, pick) in steps {
            model.apply(step, pick);
            model.check();
        }
        let ids: Vec<_> = model.known.keys().copied().collect();
        ids.into_iter().for_each(|id| model.close(id));
        model.account.pooled() == 0 && model.account.connections() == 0
    }

    /// Small requests take nothing of the pool, so they need a connection only.
    fn a_small_request_is_admitted_unless_all_connections_are_being_handled(
        steps: Vec<(Step, usize)>
    ) -> bool {
        let mut model = Model::new();
        for (step, pick) in steps {
            model.apply(step, pick);
        }
        let handling = model.known.values().filter(|k| k.handling).count();
        let opened = model.account.open(model.now);
        let Ok(Opened { id, .. }) = opened else {
            return handling == CAPACITY.connections + CAPACITY.overflow;
        };
        model.account.begin_request(id, model.now);
        model.account.resize(id, 0).is_ok()
    }
}

#[test]
fn the_request_that_is_incomplete_for_the_longest_time_makes_way() {
    let mut account = Account::new(CAPACITY);
    let ids: Vec<ConnectionId> = (0..3)
        .map(|now| {
            let id = account.open(now).expect("room").id;
            account.begin_request(id, now);
            account.resize(id, 30).expect("room");
            id
        })
        .collect();
    assert_eq!(account.resize(ids[2], 60), Ok(vec![ids[0]]));
    assert_eq!(account.resize(ids[1], 50), Err(Exhausted));
    assert_eq!(account.pooled(), 60);
}

#[test]
fn an_idle_connection_makes_way_before_one_that_reads() {
    let mut account = Account::new(CAPACITY);
    let ids: Vec<ConnectionId> = (0..CAPACITY.connections as u64)
        .map(|now| account.open(now).expect("room").id)
        .collect();
    account.begin_request(ids[0], 10);
    assert_eq!(account.open(11).expect("room").evicted, Some(ids[1]));
    for id in &ids[2..] {
        account.begin_request(*id, 12);
    }
    let newest = account.open(13).expect("room");
    assert_eq!(
        newest.evicted,
        Some(5),
        "the idle one of the first eviction"
    );
    account.begin_request(newest.id, 14);
    assert_eq!(account.open(15).expect("room").evicted, Some(ids[0]));
}
