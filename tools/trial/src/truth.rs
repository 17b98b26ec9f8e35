//! The true history of a run, recorded outside the program under test, and checks against it.

use std::collections::BTreeMap;

use willowpoint::invariant::Rule;
use willowpoint::utils::Name;

use crate::counts::Counts;

/// A violation of a rule, which ends the run.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Milliseconds since the start of the run.
    pub at: u64,
    /// Description of the violation.
    pub detail: String,
}

/// One send of a request by a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the request that is sent.
    pub request: usize,
    /// How often an endpoint ran it.
    pub runs: u32,
    /// True once the caller was told that the attempt was not run.
    pub reported_not_run: bool,
    /// True once the caller has received the final answer.
    pub answered: bool,
}

/// A caller's request with all its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: Name,
    /// Wall clock time of its first attempt in ms.
    pub issued: u64,
    /// True when it may run more than once.
    pub repeatable: bool,
    /// How often an endpoint ran it.
    pub runs: u32,
    /// Number of attempts so far.
    pub attempts: u32,
}

/// The true history of a run.
#[derive(Debug, Default)]
pub struct Truth {
    /// All attempts of all requests.
    pub attempts: Vec<Attempt>,
    /// All requests.
    pub requests: Vec<Request>,
    /// Workers of all runs that were started, by rack and run id.
    pub started: BTreeMap<(usize, u64), usize>,
    /// Last configuration version seen at each box incarnation.
    pub versions: BTreeMap<Name, u64>,
    /// Versions of the changes that were reported as accepted, by change id.
    pub accepted: BTreeMap<Name, u64>,
    /// Ids of the changes that were reported as refused.
    pub refused: Vec<Name>,
    /// Counts of faults, checks and events.
    pub counts: Counts,
    /// The first violation.
    pub violation: Option<Violation>,
    /// Milliseconds since the start of the run.
    pub now: u64,
}

impl Truth {
    /// Counts a check of a rule and records a violation unless the rule holds. Only the first
    /// violation is kept.
    pub fn check(&mut self, holds: bool, rule: Rule, detail: impl FnOnce() -> String) {
        self.counts.check(rule);
        if !holds && self.violation.is_none() {
            self.violation = Some(Violation {
                rule,
                at: self.now,
                detail: detail(),
            });
        }
    }

    /// Records that an endpoint runs an attempt.
    pub fn record_run(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        entry.runs += 1;
        let not_run = entry.reported_not_run;
        let request = &mut self.requests[entry.request];
        request.runs += 1;
        let (id, repeated) = (request.id.clone(), !request.repeatable && request.runs > 1);
        self.check(!not_run, Rule::NotRun, || {
            format!("{id} runs after its caller was told that it was not run")
        });
        self.check(!repeated, Rule::Once, || format!("{id} runs again"));
    }

    /// Records that a caller is told that an attempt was not run.
    pub fn record_not_run(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        entry.reported_not_run = true;
        let runs = entry.runs;
        self.check(runs == 0, Rule::NotRun, || {
            format!("attempt {attempt} is reported as not run but ran {runs} times")
        });
    }

    /// Records that a caller receives an answer to `attempt`; `answer_of` is the attempt that the
    /// endpoint answered.
    pub fn record_answer(&mut self, attempt: usize, answer_of: Option<usize>) {
        let repeated = std::mem::replace(&mut self.attempts[attempt].answered, true);
        self.check(!repeated, Rule::Answer, || {
            format!("attempt {attempt} is answered twice")
        });
        let matches = answer_of.is_none_or(|of| of == attempt);
        self.check(matches, Rule::Answer, || {
            format!("attempt {attempt} gets the answer of attempt {answer_of:?}")
        });
    }
}
