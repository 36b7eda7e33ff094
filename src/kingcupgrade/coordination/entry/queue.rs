//! Requests that wait at this entry, by organisation, within bounds.
//!
//! Without a bound per organisation, one that floods the entry would fill its memory, and the
//! others' requests would be refused for want of room.

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
    /// Tells whether a request of `bytes` fits.
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

    /// Appends a request.
    pub fn push_back(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        id: RequestId,
        bytes: usize,
    ) {
        self.queue_for(service, organisation, bytes).push_back((id, bytes));
    }

    /// Puts a request that was tried already before all others.
    pub fn push_front(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        id: RequestId,
        bytes: usize,
    ) {
        self.queue_for(service, organisation, bytes).push_front((id, bytes));
    }

    /// Returns the queue that a request of `bytes` is about to join.
    fn queue_for(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        bytes: usize,
    ) -> &mut VecDeque<(RequestId, usize)> {
        let queue = self.queues.entry((service.clone(), organisation.clone())).or_default();
        queue.bytes += bytes;
        &mut queue.requests
    }

    /// Takes the first request that `accepts` accepts.
    pub fn take(
        &mut self,
        service: &Service,
        organisation: &Organisation,
        accepts: impl Fn(RequestId) -> bool,
    ) -> Option<RequestId> {
        let key = (service.clone(), organisation.clone());
        let queue = self.queues.get_mut(&key)?;
        let place = queue.requests.iter().position(|(id, _)| accepts(*id))?;
        let (id, bytes) = queue.requests.remove(place)?;
        queue.bytes -= bytes;
        if queue.requests.is_empty() {
            self.queues.remove(&key);
        }
        Some(id)
    }

    /// Returns how many of an organisation's requests wait.
    pub fn len(&self, service: &Service, organisation: &Organisation) -> usize {
        let key = (service.clone(), organisation.clone());
        self.queues.get(&key).map_or(0, |queue| queue.requests.len())
    }

    /// Lists the organisations of a service with requests waiting, and how many.
    pub fn waiting(&self, service: &Service) -> impl Iterator<Item = (&Organisation, usize)> {
        let of_service = self.queues.iter().filter(move |((s, _), _)| s == service);
        of_service.map(|((_, organisation), queue)| (organisation, queue.requests.len()))
    }
}
