//! Counts of the faults, checks and events of a run.

use std::collections::BTreeMap;

use crate::schedule::Kind;
use willowpoint::invariant::Rule;

/// Counts of one run or of many.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Faults injected, by kind.
    pub faults: BTreeMap<Kind, u64>,
    /// Checks made from outside the program, by rule.
    pub checks: BTreeMap<&'static str, u64>,
    /// Other events, by the name under which they are printed.
    pub events: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Counts a fault.
    pub fn fault(&mut self, kind: Kind) {
        *self.faults.entry(kind).or_default() += 1;
    }

    /// Counts an event.
    pub fn event(&mut self, name: &'static str) {
        *self.events.entry(name).or_default() += 1;
    }

    /// Counts a check of a rule.
    pub fn check(&mut self, rule: Rule) {
        *self.checks.entry(rule_name(rule)).or_default() += 1;
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in &other.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
        for (rule, count) in &other.checks {
            *self.checks.entry(rule).or_default() += count;
        }
        for (name, count) in &other.events {
            *self.events.entry(name).or_default() += count;
        }
    }
}

/// Returns the printed name of a rule.
pub fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::Room => "room",
        Rule::Place => "place",
        Rule::Resume => "resume",
        Rule::Answer => "answer",
        Rule::NotRun => "not-run",
        Rule::Once => "once",
        Rule::Leaving => "leaving",
        Rule::Config => "config",
        Rule::Owner => "owner",
    }
}
