//! Callers' requests: arrival, claim of the request key, attempts and settlement.

use super::{
    Awaited, CLAIM_MARGIN, CLAIM_TIMEOUT, ClaimState, KeyedRequest, Node, Output, SETTLE_TIMEOUT,
    other_domains,
};
use crate::{
    coordination::{
        dispatcher::Dispatcher,
        entry::{Arrival, AttemptEnd, EntryMachine, EntryOutput, RequestId},
        lease::LEASE_DURATION,
        view::View,
    },
    core::{Code, Millis, Service, settings::Role},
    protocol::{
        Message, Pool,
        crash::CrashNews,
        record::{ClaimId, Command, Reply, Settlement, StoredAnswer},
    },
};

impl Node {
    pub(super) fn on_arrival(
        &mut self,
        now: Millis,
        arrival: Arrival,
        keyed: Option<KeyedRequest>,
        out: &mut Vec<Output>,
    ) {
        let id = arrival.id;
        let Some(in_force) = self.view.documents().get(&arrival.service) else {
            let code = Code::UnknownService;
            out.push(Output::GiveUp { id, code, retry_after: Millis::ZERO });
            return;
        };
        let document = in_force.document.clone();
        if let Some(keyed) = keyed {
            let claim = ClaimId(self.claimer, self.next_claim);
            self.next_claim += 1;
            self.claims.insert(id, ClaimState { id: claim, keyed, claimed: false });
        }
        let service = arrival.service.clone();
        let first = out.len();
        self.run_entry(now, out, |entry, _, outputs| {
            entry.admit(now, arrival, &document, outputs);
        });
        self.release_unsent(now, &out[first..]);
        self.ensure_sessions(now, &service, out);
    }

    /// Opens or keeps the sessions that report this entry's demand for a service to its dispatcher.
    pub(super) fn ensure_sessions(
        &mut self,
        now: Millis,
        service: &Service,
        out: &mut Vec<Output>,
    ) {
        let is_active = self.entry.as_ref().is_some_and(|entry| entry.is_active(service));
        if !is_active {
            return;
        }
        let home = Pool(service.clone(), self.domain.clone());
        let holder = self.leases.as_ref().and_then(|leases| leases.holder(now, service).cloned());
        let has_holder = holder.is_some();
        let own = self.settings.instance.clone();
        let share_term = self.shares.get(service).map(Dispatcher::term);
        let target = match (holder, share_term) {
            (Some(holder), _) => Some((holder.instance, holder.term)),
            (None, Some(term)) => Some((own, term)),
            (None, None) => None,
        };
        if let Some((instance, term)) = target {
            self.run_entry(now, out, |entry, _, outputs| {
                entry.ensure_session(now, home, &instance, term, None, outputs);
            });
        }
        if self.settings.static_shares {
            return;
        }
        let lacks_dispatcher = self
            .entry
            .as_mut()
            .is_some_and(|entry| entry.note_local_dispatcher(now, service, has_holder));
        if lacks_dispatcher && self.view.is_fresh(now) {
            self.request_from_other_domains(now, service, out);
        }
    }

    /// Opens sessions in the other failure domains, since the pool of this one has no
    /// dispatcher.
    fn request_from_other_domains(
        &mut self,
        now: Millis,
        service: &Service,
        out: &mut Vec<Output>,
    ) {
        for domain in other_domains(&self.settings, &self.domain) {
            if self.view.is_out(&domain) {
                continue;
            }
            let Some(guess) = self.guess_holder(now, service, &domain) else { continue };
            let pool = Pool(service.clone(), domain);
            self.run_entry(now, out, |entry, _, outputs| {
                let known = entry.session_pools().find(|(p, _)| **p == pool);
                let holder = known.map_or(guess, |(_, holder)| holder.clone());
                entry.ensure_session(now, pool, &holder, 0, Some(now + LEASE_DURATION), outputs);
            });
        }
    }

    pub(super) fn run_entry(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        run: impl FnOnce(&mut EntryMachine, &View, &mut Vec<EntryOutput>),
    ) {
        let Some(entry) = &mut self.entry else { return };
        let mut outputs = Vec::new();
        run(entry, &self.view, &mut outputs);
        for output in outputs {
            match output {
                EntryOutput::Send(to, message) => self.send(to, Message::Dispatch(message), out),
                EntryOutput::Claim(id) => self.claim(now, id),
                EntryOutput::Start { id, upstream, address } => {
                    out.push(Output::Start { id, upstream, address });
                }
                EntryOutput::GiveUp { id, code, retry_after } => {
                    out.push(Output::GiveUp { id, code, retry_after });
                }
                EntryOutput::Decided(decision) => out.push(Output::Decided(decision)),
            }
        }
    }

    pub(super) fn on_crash_news(&mut self, now: Millis, news: &CrashNews, out: &mut Vec<Output>) {
        let first = out.len();
        self.run_entry(now, out, |entry, _, outputs| {
            entry.on_crash_news(now, news.clone(), outputs);
        });
        self.release_unsent(now, &out[first..]);
    }

    /// Tells the other entries what this one has seen of crashes since.
    pub(super) fn send_crash_news(&mut self, now: Millis, out: &mut Vec<Output>) {
        let mut news = CrashNews::default();
        self.run_entry(now, out, |entry, _, outputs| news = entry.take_crash_news(now, outputs));
        if news.is_empty() {
            return;
        }
        let own = self.settings.instance.clone();
        let entries = self.settings.with_role(Role::Entry).map(|peer| peer.instance.clone());
        for other in entries.filter(|entry| *entry != own).collect::<Vec<_>>() {
            self.send(other, Message::Crashes(news.clone()), out);
        }
    }

    pub(super) fn claim(&mut self, now: Millis, id: RequestId) {
        let Some(claim) = self.claims.get(&id) else { return };
        let deadline = self.deadline_of(&claim.keyed.key.service);
        let command = Command::Claim {
            id: claim.id,
            key: claim.keyed.key.clone(),
            digest: claim.keyed.digest,
            span: deadline + CLAIM_MARGIN,
        };
        let proposal = self.client.propose(now, command, CLAIM_TIMEOUT);
        self.awaited.insert(proposal, Awaited::Claim(id));
    }

    fn deadline_of(&self, service: &Service) -> Millis {
        let in_force = self.view.documents().get(service);
        in_force.map_or(Millis::ZERO, |d| Millis(d.document.limits.deadline_ms))
    }

    pub(super) fn on_claim_answer(
        &mut self,
        now: Millis,
        id: RequestId,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let result = match reply {
            Reply::Claimed => Ok(()),
            Reply::Replay(answer) => {
                self.claims.remove(&id);
                if let Some(entry) = &mut self.entry {
                    entry.on_hang_up(id);
                }
                out.push(Output::Replay(id, answer));
                return;
            }
            Reply::Refused(err) if err.code == Code::CommitUnknown => Err(Code::NoQuorum),
            Reply::Refused(err) => Err(err.code),
            _ => Err(Code::NoQuorum),
        };
        if let Some(claim) = self.claims.get_mut(&id) {
            claim.claimed = result.is_ok();
        }
        // A claim may have been committed although its reply was lost. The request was not sent,
        // so the claim is released; otherwise the caller's retry would be refused as a request
        // that may have run.
        let is_unconfirmed = result == Err(Code::NoQuorum);
        let mut is_unused = false;
        self.run_entry(now, out, |entry, _, outputs| {
            is_unused = entry.on_claimed(now, id, result, outputs);
        });
        if is_unused || is_unconfirmed {
            self.settle(now, id, Settlement::Released);
        } else if result.is_err() {
            self.claims.remove(&id);
        }
    }

    fn settle(&mut self, now: Millis, id: RequestId, settlement: Settlement) {
        let Some(claim) = self.claims.remove(&id) else { return };
        let command = Command::Settle { id: claim.id, key: claim.keyed.key, settlement };
        let proposal = self.client.propose(now, command, SETTLE_TIMEOUT);
        self.awaited.insert(proposal, Awaited::Settle);
    }

    /// Releases the claims of requests that were refused on arrival or while they waited. None of them has run: a
    /// request with a claim waits again only if its upstream did not run it.
    pub(super) fn release_unsent(&mut self, now: Millis, outputs: &[Output]) {
        for output in outputs {
            let Output::GiveUp { id, .. } = output else { continue };
            match self.claims.get(id).map(|claim| claim.claimed) {
                Some(true) => self.settle(now, *id, Settlement::Released),
                Some(false) => {
                    self.claims.remove(id);
                }
                None => {}
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one input")]
    pub(super) fn on_attempt_end(
        &mut self,
        now: Millis,
        id: RequestId,
        end: AttemptEnd,
        cost: u32,
        first_byte_ms: Option<u32>,
        answer: Option<StoredAnswer>,
        out: &mut Vec<Output>,
    ) {
        let mut entry_outputs = Vec::new();
        self.run_entry(now, &mut entry_outputs, |entry, _, outputs| {
            entry.on_attempt_end(now, id, end, cost, first_byte_ms, outputs);
        });
        let is_open = self.entry.as_ref().is_some_and(|entry| entry.is_open(id));
        let was_claimed = self.claims.get(&id).is_some_and(|claim| claim.claimed);
        if was_claimed && !is_open {
            let settlement = match (end, answer) {
                (AttemptEnd::Completed, Some(answer)) => Settlement::Done(answer),
                (AttemptEnd::NotSent | AttemptEnd::Refused, _) => Settlement::Released,
                _ => Settlement::Unknown,
            };
            self.settle(now, id, settlement);
        } else if !is_open {
            self.claims.remove(&id);
        }
        // Requests that wait may be refused with it.
        self.release_unsent(now, &entry_outputs);
        if !is_open && entry_outputs.is_empty() {
            out.push(Output::Finished(id));
        }
        out.append(&mut entry_outputs);
    }

    pub(super) fn on_hang_up(&mut self, now: Millis, id: RequestId) {
        if let Some(entry) = &mut self.entry {
            entry.on_hang_up(id);
        }
        // A claim in progress is released when its reply arrives. One that is committed, but whose
        // request was not sent, is released now.
        if self.claims.get(&id).is_some_and(|claim| claim.claimed) {
            self.settle(now, id, Settlement::Released);
        }
    }
}
