//! Handles callers' requests to submit, cancel, show and count jobs.

use super::failover;
use super::job::{Job, Outcome, Queue};
use super::job_rows::{self, WorkerNames};
use super::journal::AfterCommit;
use super::message::{Answer, JobRequest, Ticket};
use super::owner::Owner;
use super::spec::JobSpec;
use crate::utils::Name;

impl Owner {
    pub(super) fn handle_request(&mut self, ticket: Ticket, request: JobRequest) {
        if let JobRequest::Submit { id, .. } | JobRequest::Cancel(id) | JobRequest::Show(id) =
            &request
            && self.unreadable_jobs.contains(id)
        {
            log::warn!(target: "job", "job={id} event=in-doubt reason=unreadable-row");
            return self.reply(ticket, Answer::InDoubt);
        }
        match request {
            JobRequest::Submit { id, spec, queue } => self.submit(ticket, id, spec, queue),
            JobRequest::Cancel(id) => self.cancel(ticket, &id),
            JobRequest::Show(id) => self.show(ticket, &id),
            JobRequest::Count(queue) => self.count_waiting(ticket, &queue),
        }
    }

    fn submit(&mut self, ticket: Ticket, id: Name, spec: Box<JobSpec>, queue: Queue) {
        if let Some(number) = self.job_numbers.get(&id) {
            let number = *number;
            return self.answer_once_stored(ticket, number, Answer::Accepted);
        }
        if self.history.get(&id).is_some() {
            return self.reply(ticket, Answer::Accepted);
        }
        let mut errors = spec.validation_errors();
        errors.extend(self.storage_error(&spec, &queue));
        if !errors.is_empty() {
            log::warn!(target: "job", "job={id} event=invalid findings={errors:?}");
            return self.reply(ticket, Answer::Invalid(errors.join("; ")));
        }
        if let Some(rejection) = self.rejection(&spec, &queue.service) {
            let workers = self.workers.len();
            log::info!(target: "job", "job={id} event=refused reason={rejection:?} workers={workers}");
            return self.reply(ticket, Answer::Refused(rejection.retry_after()));
        }
        if !self.history.is_complete() {
            return self.park(ticket, JobRequest::Submit { id, spec, queue });
        }
        if let Some(rejection) = self.load_rejection(&id, &spec, &queue) {
            return self.reply(ticket, Answer::Refused(rejection.retry_after()));
        }
        let steps = spec.steps.len();
        log::info!(target: "job", "job={id} event=accept queue={} steps={steps}", queue.name);
        let accepted = self.first_attempt(&id, &spec, &queue);
        let job = Job::new(id, *spec, queue, accepted);
        let number = self.add_job(job);
        self.journal
            .run_after_commit(number, AfterCommit::Reply(ticket, Answer::Accepted));
        self.queue_ready_tasks(number);
    }

    /// Returns why the rows of a job may outgrow those of the store, if they may.
    fn storage_error(&self, spec: &JobSpec, queue: &Queue) -> Option<String> {
        let limit = self.settings.row_bytes;
        // Most jobs are far too small to need a look at the workers.
        job_rows::storage_error(spec, queue, WorkerNames::LONGEST, limit)?;
        let names = WorkerNames {
            longest: self.workers.keys().map(|id| id.len()).max().unwrap_or(0),
            boots: self.workers.values().any(|w| w.boot.is_some()),
        };
        job_rows::storage_error(spec, queue, names, limit)
    }

    /// Answers once the store has the current outcome of a job.
    fn answer_once_stored(&mut self, ticket: Ticket, number: u32, answer: Answer) {
        let job = &self.jobs[&number];
        if job.stored && job.stored_outcome == job.row.outcome {
            return self.reply(ticket, answer);
        }
        self.journal
            .run_after_commit(number, AfterCommit::Reply(ticket, answer));
    }

    fn cancel(&mut self, ticket: Ticket, id: &Name) {
        let Some(number) = self.job_numbers.get(id).copied() else {
            return match self.history.get(id) {
                Some(_) => self.reply(ticket, Answer::Cancelled),
                None => self.answer_unknown_job(ticket, JobRequest::Cancel(id.clone())),
            };
        };
        if self.jobs[&number].is_open() {
            self.finish_job(number, Outcome::Cancelled);
        }
        self.answer_once_stored(ticket, number, Answer::Cancelled);
    }

    fn show(&mut self, ticket: Ticket, id: &Name) {
        let number = self.job_numbers.get(id);
        let answer = match number.map(|n| &self.jobs[n]) {
            Some(job) if job.stored => Answer::State(job.state()),
            // The store has not confirmed the job yet, so neither a state nor `Unknown` is true.
            Some(_) => Answer::InDoubt,
            None => match self.history.get(id) {
                Some(row) => Answer::State(row.outcome.state(true)),
                None => return self.answer_unknown_job(ticket, JobRequest::Show(id.clone())),
            },
        };
        self.reply(ticket, answer);
    }

    /// Answers a request about a job that this owner does not know. The request is parked until
    /// the history is read completely, as the job may be among the finished ones, and while
    /// there may be a later owner, which may know the job.
    fn answer_unknown_job(&mut self, ticket: Ticket, request: JobRequest) {
        match self.history.is_complete() && self.is_sole_owner() {
            true => self.reply(ticket, Answer::Unknown),
            false => self.park(ticket, request),
        }
    }

    /// Returns true while no other box can be the owner. While the cell is being released, a
    /// commit whose answer is outstanding may already have released it.
    fn is_sole_owner(&self) -> bool {
        !self.is_releasing() && failover::holds_cell(self.journal.last_confirmed(), self.now.steady)
    }

    /// Handles the parked requests again, once a commit has confirmed that this box is the owner.
    pub(super) fn answer_parked(&mut self) {
        if self.history.has_parked() && self.history.is_complete() && self.is_sole_owner() {
            for (ticket, request) in self.history.take_parked() {
                self.handle_request(ticket, request);
            }
        }
    }

    fn count_waiting(&mut self, ticket: Ticket, queue: &str) {
        let waits = |job: &&Job| {
            job.stored && job.is_open() && !job.row.begun && &*job.row.queue.name == queue
        };
        let count = self.jobs.values().filter(waits).count() as u64;
        self.reply(ticket, Answer::Waiting(count));
    }
}
