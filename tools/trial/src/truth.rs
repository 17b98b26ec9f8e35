//! What really happened, kept beside the program under test, and the checks
//! against it.

use std::collections::BTreeMap;

use willowpoint::invariant::Rule;
use willowpoint::utils::Name;

use crate::counts::Counts;

/// A violation, which ends the run.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Milliseconds since the start of the run.
    pub at: u64,
    /// What was seen.
    pub detail: String,
}

/// One send of a request by a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request that it belongs to.
    pub request: usize,
    /// How often an endpoint ran it.
    pub ran: u32,
    /// True once the caller was told that it was not run.
    pub denied: bool,
    /// True once the caller has its final answer.
    pub told: bool,
}

/// A caller's request over all its sends.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: Name,
    /// Wall clock of its first issue.
    pub issued: u64,
    /// True when it may run more than once.
    pub repeatable: bool,
    /// How often an endpoint ran it.
    pub ran: u32,
    /// Sends so far.
    pub sends: u32,
}

/// What really happened.
#[derive(Debug, Default)]
pub struct Truth {
    /// All sends.
    pub attempts: Vec<Attempt>,
    /// All requests.
    pub requests: Vec<Request>,
    /// Runs that were started, by rack and number, and their workers.
    pub started: BTreeMap<(usize, u64), usize>,
    /// Highest version of the configuration seen at each incarnation of a box.
    pub versions: BTreeMap<Name, u64>,
    /// Versions that operators were told, by the id of the change.
    pub accepted: BTreeMap<Name, u64>,
    /// Changes that operators were told to be refused.
    pub refused: Vec<Name>,
    /// What was counted.
    pub counts: Counts,
    /// The first violation.
    pub violation: Option<Violation>,
    /// Milliseconds since the start of the run.
    pub now: u64,
}

impl Truth {
    /// Checks a rule.
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

    /// Takes in that an endpoint runs an attempt.
    pub fn ran(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        entry.ran += 1;
        let denied = entry.denied;
        let request = &mut self.requests[entry.request];
        request.ran += 1;
        let (id, twice) = (request.id.clone(), !request.repeatable && request.ran > 1);
        self.check(!denied, Rule::NotRun, || {
            format!("{id} runs after it was denied")
        });
        self.check(!twice, Rule::Once, || format!("{id} runs again"));
    }

    /// Takes in that a caller is told that an attempt was not run.
    pub fn deny(&mut self, attempt: usize) {
        let entry = &mut self.attempts[attempt];
        entry.denied = true;
        let ran = entry.ran;
        self.check(ran == 0, Rule::NotRun, || {
            format!("attempt {attempt} is denied and ran {ran} times")
        });
    }

    /// Takes in that a caller has an answer to an attempt.
    pub fn answer(&mut self, attempt: usize, of: Option<usize>) {
        let again = std::mem::replace(&mut self.attempts[attempt].told, true);
        self.check(!again, Rule::Answer, || {
            format!("attempt {attempt} is told twice")
        });
        let own = of.is_none_or(|of| of == attempt);
        self.check(own, Rule::Answer, || {
            format!("attempt {attempt} gets the answer of {of:?}")
        });
    }
}
