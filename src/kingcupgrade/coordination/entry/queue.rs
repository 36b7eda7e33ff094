//! Bounded queues of waiting requests, one per service and organisation.
//!
//! Without a bound per organisation, a single organisation could fill the entry's memory, and the
//! requests of all others would be refused for lack of space.

use std::collections::{BTreeMap, VecDeque};

use super::RequestId;
use crate::core::{Organisation, Service, document::Limits};

#[derive(Clone, Debug, Default)]
struct Queue {
    requests: VecDeque<(RequestId, usize)>,
    bytes: usize,
}

/// The queues of all organisations of all services.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    queues: BTreeMap<(Service, Organisation), Queue>,
}

impl Queues {
    /// Returns whether a request of `bytes` fits into its queue.
    pub fn has_room(
        &self,
        service: &Service,
        organisation: &Organisation,
        bytes: usize,
        limits: &Limits,
    ) -> bool {
        match self.queues.get(&(service.clone(), organisation.clone())) {
            None => bytes <= limits.queue_bytes,
            Some(queue) => {
                queue.requests.len() < limits.queue_requests
                    && queue.bytes + bytes <= limits.queue_bytes
            }
        }
    }

    /// Appends a request to its queue.
    pub fn push_back(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        id: RequestId,
        bytes: usize,
    ) {
        self.queue_for_push(service, organisation, bytes).push_back((id, bytes));
    }

    /// Puts a request that was already sent at the head of its queue.
    pub fn push_front(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        id: RequestId,
        bytes: usize,
    ) {
        self.queue_for_push(service, organisation, bytes).push_front((id, bytes));
    }

    /// Returns the queue for a request of `bytes` and adds those to its size.
    fn queue_for_push(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        bytes: usize,
    ) -> &mut VecDeque<(RequestId, usize)> {
        let queue = self.queues.entry((service.clone(), organisation.clone())).or_default();
        queue.bytes += bytes;
        &mut queue.requests
    }

    /// Removes and returns the first request for which `accepts` returns true.
    pub fn take(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        accepts: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let key = (service.clone(), organisation.clone());
        let queue = self.queues.get_mut(&key)?;
        let index = queue.requests.iter().position(|(id, _)| accepts(*id))?;
        let (id, bytes) = queue.requests.remove(index)?;
        queue.bytes -= bytes;
        if queue.requests.is_empty() {
            self.queues.remove(&key);
        }
        Some(id)
    }

    /// Returns the first request for which `is_meant` returns true.
    pub fn find(
        &self,
        service: &Service,
        organisation: &Organisation,
        is_meant: impl Fn(&RequestId) -> bool,
    ) -> Option<RequestId> {
        let queue = self.queues.get(&(service.clone(), organisation.clone()))?;
        queue.requests.iter().map(|(id, _)| *id).find(is_meant)
    }

    /// Returns the number of an organisation's waiting requests.
    pub fn len(&self, service: &Service, organisation: &Organisation) -> usize {
        let key = (service.clone(), organisation.clone());
        self.queues.get(&key).map_or(0, |queue| queue.requests.len())
    }

    /// Lists the organisations of a service with waiting requests, and their number.
    pub fn waiting(&self, service: &Service) -> impl Iterator<Item = (&Organisation, usize)> {
        let of_service = self.queues.iter().filter(move |((s, _), _)| s == service);
        of_service.map(|((_, organisation), queue)| (organisation, queue.requests.len()))
    }
}
