//! Generates the load: callers' requests, operators' changes and jobs, and checks the final state.

use std::collections::BTreeMap;

use willowpoint::cell::{Class, Size};
use willowpoint::config::{self, ChangeRow, ConfigTransaction, Edit, Head, Refusal, Step};
use willowpoint::engine::{Action, Event, Query, Verdict, View};
use willowpoint::invariant::Rule;
use willowpoint::job::{self, CandidateCell, JobRow, JobShardRow, Spec};
use willowpoint::lease::WriteOutcome;
use willowpoint::request::Meta;
use willowpoint::table::{Call, Expect, Op, Outcome, decode};
use willowpoint::utils::Name;

use super::{Delivery, Origin, START_TIME, World};
use crate::schedule::{BOXES, Fault};
use crate::truth::{Attempt, Request};

/// Time allowed for a request in ms.
const DEADLINE: u64 = 1_500;
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 4;
/// Probability that a caller issues a request in a step.
const REQUEST_PROBABILITY: f64 = 0.6;
/// Maximum number of jobs in a run.
const MAX_JOBS: usize = 30;

/// An operator's change in progress.
pub struct Operation {
    transaction: ConfigTransaction,
    id: Name,
    call: Option<Call>,
    /// Index of the box through which the change is made.
    node: usize,
}

impl World {
    /// Writes the initial configuration to the table.
    pub fn write_config(&mut self) {
        let edit = |name: &str| Edit {
            key: format!("service/{name}").into(),
            value: Some(r#"{"team":"t","cores":500}"#.into()),
            expect: None,
        };
        let row = ChangeRow {
            version: 0,
            id: "first".into(),
            author: "run".into(),
            when: START_TIME,
            edits: vec![edit("s0"), edit("s1"), edit("s2")],
        };
        let (mut transaction, mut step) = ConfigTransaction::new(row);
        while let Step::Call(call) = step {
            step = transaction.advance(self.table.call(&call));
        }
    }

    /// Issues a new request in some of the steps.
    pub fn issue_request(&mut self) {
        if !self.random.chance(REQUEST_PROBABILITY) {
            return;
        }
        let number = self.truth.requests.len();
        let skew = self.random.below(401);
        self.truth.requests.push(Request {
            id: format!("q{number}").into(),
            issued: START_TIME + self.now + skew - 200,
            repeatable: self.random.chance(0.4),
            runs: 0,
            attempts: 0,
        });
        self.send_request(number);
    }

    /// Sends a request to a random box.
    pub fn send_request(&mut self, number: usize) {
        let attempt = self.truth.attempts.len();
        self.truth.attempts.push(Attempt {
            request: number,
            runs: 0,
            reported_not_run: false,
            answered: false,
        });
        let request = &mut self.truth.requests[number];
        request.attempts += 1;
        let class = match number % 4 {
            0 => Class::Batch,
            _ => Class::Critical,
        };
        let meta = Meta {
            id: request.id.clone(),
            service: "s0".into(),
            team: "t".into(),
            class,
            repeatable: request.repeatable,
            time_left: DEADLINE,
            issued: request.issued,
            // Only some callers promise not to resend before the deadline.
            sole_until: match request.attempts == 1 && !number.is_multiple_of(3) {
                true => request.issued + DEADLINE,
                false => 0,
            },
            retries: 2,
        };
        let node = self.random.below(BOXES as u64) as usize;
        let boot = self.nodes[node].boot;
        let ticket = self.add_pending(node, Origin::Caller, attempt);
        self.deliver_event(node, boot, Event::Request { ticket, meta });
        let wait = DEADLINE + 500;
        self.push(self.now + wait, Delivery::GiveUp { attempt });
    }

    /// Answers a caller's attempt.
    pub fn answer_caller(&mut self, attempt: usize, verdict: Verdict, answer: Option<usize>) {
        match verdict {
            Verdict::Answer => {
                self.truth.counts.event("callers answered");
                self.truth.check(answer.is_some(), Rule::Answer, || {
                    format!(
                        "attempt {attempt} is reported as answered, but no endpoint answered it"
                    )
                });
            }
            Verdict::NotRun { .. } => {
                self.truth.counts.event("callers told not run");
                self.truth.record_not_run(attempt);
            }
            Verdict::Unknown { .. } => self.truth.counts.event("callers told unknown"),
        }
        self.truth.record_answer(attempt, answer);
        if verdict != Verdict::Answer {
            self.maybe_resend(attempt);
        }
    }

    /// Ends a caller's wait for an attempt that was not answered.
    pub fn give_up(&mut self, attempt: usize) {
        if !self.truth.attempts[attempt].answered {
            self.truth.counts.event("callers left without an answer");
            self.maybe_resend(attempt);
        }
    }

    fn maybe_resend(&mut self, attempt: usize) {
        let number = self.truth.attempts[attempt].request;
        let attempts = self.truth.requests[number].attempts;
        if attempts < MAX_ATTEMPTS && self.random.chance(0.7) {
            let at = self.now + self.random.below(400);
            self.push(at, Delivery::Resend { request: number });
        }
    }

    /// Begins two operators' changes of the same entry, both based on the same version.
    pub fn begin_race(&mut self, fault: Fault) {
        let key: Name = format!("service/s{}", fault.b % 3).into();
        let rows = self
            .table
            .read(&[format!("{}{key}", config::ENTRY_PREFIX).into()]);
        let entry = rows.first().and_then(decode::<config::EntryRow>);
        let expect = entry.map_or(0, |e| e.version);
        for side in 0..2 {
            let number = self.operations.len();
            let id: Name = format!("c{number}").into();
            let value = format!(r#"{{"team":"t","cores":{}}}"#, 500 + number % 7);
            let row = ChangeRow {
                version: 0,
                id: id.clone(),
                author: "run".into(),
                when: START_TIME + self.now,
                edits: vec![Edit {
                    key: key.clone(),
                    value: Some(value.into()),
                    expect: Some(expect),
                }],
            };
            let (transaction, step) = ConfigTransaction::new(row);
            let operation = Operation {
                transaction,
                id,
                call: None,
                node: (fault.a + side) % BOXES,
            };
            self.operations.push(operation);
            self.continue_change(number, step);
        }
    }

    /// Takes the next step of an operator's change.
    fn continue_change(&mut self, number: usize, step: Step) {
        let id = self.operations[number].id.clone();
        match step {
            Step::Call(call) => {
                self.operations[number].call = Some(call);
                let at = self.now + self.delay(super::Party::Store);
                self.push(at, Delivery::OperatorCall { operation: number });
            }
            Step::Accepted(version) => {
                self.truth.counts.event("changes accepted");
                self.truth.accepted.insert(id, version);
            }
            Step::Refused(Refusal::Unknown) => self.truth.counts.event("changes unknown"),
            Step::Refused(_) => {
                self.truth.counts.event("changes refused");
                self.truth.refused.push(id);
            }
        }
    }

    /// Executes the next call of an operator's change at the platform.
    pub fn execute_operator_call(&mut self, number: usize) {
        let Some(call) = self.operations[number].call.take() else {
            return;
        };
        let is_commit = matches!(call, Call::Commit(_));
        let node = self.operations[number].node;
        let cut_off = self.is_cut(super::Party::Box(node), super::Party::Store);
        let down = self.disturbances.store_down > self.now || cut_off;
        let lost = self.disturbances.lost_answers > self.now && self.random.chance(0.5);
        let outcome = match (down, is_commit) {
            (true, true) => Outcome::Written(WriteOutcome::Unknown),
            (true, false) => Outcome::Failed,
            (false, _) => {
                let outcome = self.table.call(&call);
                match lost && is_commit {
                    true => Outcome::Written(WriteOutcome::Unknown),
                    false => outcome,
                }
            }
        };
        let step = self.operations[number].transaction.advance(outcome);
        self.continue_change(number, step);
    }

    /// Returns the candidate cells for jobs as some box knows them.
    fn candidate_cells(&mut self) -> Vec<CandidateCell> {
        for node in 0..BOXES {
            let now = self.clock(node);
            let query = Event::Query {
                ticket: 0,
                query: Query::CandidateCells,
            };
            let mut actions = self.nodes[node].engine.step(now, query);
            if let Some(Action::AnswerQuery {
                view: View::CandidateCells(candidates),
                ..
            }) = actions.pop()
                && !candidates.is_empty()
            {
                return candidates
                    .into_iter()
                    .map(|(candidate, _)| candidate)
                    .collect();
            }
        }
        Vec::new()
    }

    /// Submits a job; returns false when that is not possible now.
    pub fn submit_job(&mut self, fault: Fault, urgent: bool) -> bool {
        let candidates = self.candidate_cells();
        if candidates.is_empty() || self.jobs.len() >= MAX_JOBS {
            return false;
        }
        let spec = Spec {
            id: format!("j{}", self.jobs.len()).into(),
            team: format!("t{}", fault.a % 2).into(),
            kind: format!("k{}", fault.b % 3).into(),
            tasks: 1 + (fault.b % 9) as u32,
            size: Size {
                cores: 500 + (fault.b % 4) as u32 * 500,
                memory: 500,
                accelerators: 0,
            },
            work: 200 + fault.span * 20,
            urgent,
        };
        let Ok((row, shards)) = job::spread(&spec, &candidates, START_TIME + self.now) else {
            return false;
        };
        let mut ops = vec![Op::put(job::key(&spec.id), Expect::Absent, &row)];
        let rows = row.shards.iter().zip(&shards);
        ops.extend(rows.map(|(key, shard)| Op::put(key.clone(), Expect::Absent, shard)));
        if self.table.commit(&ops).is_err() {
            return false;
        }
        self.jobs.push(spec.id);
        let cells: Vec<Name> = row
            .shards
            .iter()
            .filter_map(|k| job::shard_cell(k))
            .map(Name::from)
            .collect();
        self.send_hints(cells, Vec::new());
        true
    }

    /// Notifies the boxes of new job shards or cancelled jobs; about one in five notices is lost.
    fn send_hints(&mut self, cells: Vec<Name>, cancelled: Vec<Name>) {
        for node in 0..BOXES {
            if self.random.chance(0.2) {
                continue;
            }
            let event = Event::Hint {
                cells: cells.clone(),
                cancelled: cancelled.clone(),
            };
            let boot = self.nodes[node].boot;
            self.deliver_event(node, boot, event);
        }
    }

    /// Submits a job that needs more cores than any worker has and checks that it is refused.
    pub fn submit_oversized_job(&mut self) -> bool {
        let candidates = self.candidate_cells();
        let known = candidates
            .iter()
            .any(|s| s.shapes.iter().any(|sh| sh.cores > 0));
        if !known {
            return false;
        }
        let spec = Spec {
            id: "never".into(),
            team: "t".into(),
            kind: "k".into(),
            tasks: 1,
            size: Size {
                cores: 4_001,
                memory: 1,
                accelerators: 0,
            },
            work: 1,
            urgent: false,
        };
        let refused = job::spread(&spec, &candidates, START_TIME).is_err();
        self.truth.check(refused, Rule::Room, || {
            "a job larger than any worker is accepted".into()
        });
        true
    }

    /// Cancels every job at once.
    pub fn cancel_all_jobs(&mut self) -> bool {
        let jobs = self.jobs.clone();
        for id in &jobs {
            let key: Name = job::key(id).into();
            let rows = self.table.read(std::slice::from_ref(&key));
            if let Some(mut row) = rows.first().and_then(decode::<JobRow>) {
                row.cancelled = true;
                let _ = self.table.commit(&[Op::put(key, Expect::Present, &row)]);
            }
        }
        self.send_hints(Vec::new(), jobs.clone());
        !jobs.is_empty()
    }

    /// Checks that owners, configuration and jobs have recovered from the faults.
    pub fn check_final_state(&mut self) {
        self.check_final_owners();
        self.check_final_config();
        self.check_final_jobs();
    }

    fn check_final_owners(&mut self) {
        let cells: Vec<Name> = super::RACKS.iter().map(|c| Name::from(*c)).collect();
        for cell in cells {
            let mut owners = 0;
            for node in 0..BOXES {
                let now = self.clock(node).millis;
                let engine = &self.nodes[node].engine;
                owners += usize::from(
                    engine.may_act(now) && engine.owned_cells().any(|(c, _)| *c == cell),
                );
            }
            self.truth.check(owners == 1, Rule::Owner, || {
                format!("{cell} has {owners} owners at the end")
            });
        }
    }

    fn check_final_config(&mut self) {
        let rows = self.table.read(&[config::HEAD_KEY.into()]);
        let head = rows
            .first()
            .and_then(decode::<Head>)
            .map_or(0, |h| h.version);
        let versions: Vec<u64> = (0..BOXES)
            .map(|n| self.nodes[n].engine.config_version())
            .collect();
        let all = versions.iter().all(|v| *v == head);
        self.truth.check(all, Rule::Config, || {
            format!("the head has version {head}, but the boxes have {versions:?}")
        });
        let keys: Vec<Name> = (1..=head).map(config::change_key).collect();
        let rows = self.table.read(&keys);
        let changes = rows.iter().filter_map(decode::<ChangeRow>);
        let recorded: BTreeMap<Name, u64> = changes.map(|c| (c.id, c.version)).collect();
        let accepted = self.truth.accepted.clone();
        for (id, version) in accepted {
            let kept = recorded.get(&id) == Some(&version);
            self.truth.check(kept, Rule::Config, || {
                format!("{id} was reported as accepted, but is not recorded")
            });
        }
        let refused = self.truth.refused.clone();
        for id in refused {
            let absent = !recorded.contains_key(&id);
            self.truth.check(absent, Rule::Config, || {
                format!("{id} was reported as refused, but is recorded")
            });
        }
    }

    fn check_final_jobs(&mut self) {
        let jobs = self.jobs.clone();
        for id in jobs {
            let rows = self.table.read(&[job::key(&id).into()]);
            let Some(row) = rows.first().and_then(decode::<JobRow>) else {
                self.truth.check(false, Rule::Resume, || {
                    format!("the row of {id} is missing")
                });
                continue;
            };
            let rows = self.table.read(&row.shards);
            let shards: Vec<JobShardRow> = rows.iter().filter_map(decode).collect();
            let summary = job::summarize(&row, &shards);
            let name = match summary.state {
                "done" => "jobs done",
                "failed" => "jobs failed",
                "cancelled" => "jobs cancelled",
                _ => "jobs open",
            };
            self.truth.counts.event(name);
            let ended = summary.state != "open";
            self.truth.check(ended, Rule::Resume, || {
                let states = self.nodes.iter().map(|n| n.engine.job_tasks(&id));
                let states: Vec<_> = states.collect();
                format!("{id} has not ended: {summary:?} {states:?}")
            });
        }
    }
}
