//! The number of connections that a listener keeps open.
//!
//! A connection takes a descriptor and memory, whether or not its peer ever completes a request on it.
//! Without descriptors a process can't connect to upstreams or other instances either, nor open files.
//! So beyond the limit a new connection takes the place of the one that has waited longest for its
//! peer. One on which a request is being served is never closed for another.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use metrics::counter;
use tokio::task::{AbortHandle, JoinHandle, yield_now};

/// Limits the connections of one listener.
#[derive(Clone)]
pub(crate) struct ConnectionLimit(Arc<Inner>);

struct Inner {
    listener: &'static str,
    most: usize,
    open: Mutex<Open>,
}

#[derive(Default)]
struct Open {
    next: u64,
    /// The connections that wait for their peers, the one that has waited longest first.
    waiting: BTreeMap<u64, Option<AbortHandle>>,
    /// The number of connections on which a request is being served.
    serving: usize,
}

impl ConnectionLimit {
    /// Creates the limit of a listener, whose name metrics tell.
    pub(crate) fn new(listener: &'static str, most: usize) -> ConnectionLimit {
        ConnectionLimit(Arc::new(Inner { listener, most, open: Mutex::default() }))
    }

    /// Has a new connection served by the task that `spawn` starts, unless requests are served on all
    /// others.
    pub(crate) async fn serve(&self, spawn: impl FnOnce(Arc<Place>) -> JoinHandle<()>) {
        let Some(place) = self.admit().await else { return };
        let task = spawn(place.clone());
        place.set_task(task.abort_handle());
    }

    /// Returns the place for a new connection, or `None` if requests are served on all others.
    async fn admit(&self) -> Option<Arc<Place>> {
        if self.0.is_reached() {
            if !self.close_one() {
                self.0.count("refused");
                return None;
            }
            // The task that was aborted closes its connection.
            yield_now().await;
        }
        let number = self.0.open().add_waiting(None);
        let state = Mutex::new(PlaceState { number: Some(number), task: None });
        Some(Arc::new(Place { limit: self.0.clone(), state }))
    }

    /// Closes the connection that has waited longest; returns whether there was one.
    pub(crate) fn close_one(&self) -> bool {
        let Some((_, task)) = self.0.open().waiting.pop_first() else { return false };
        if let Some(task) = task {
            task.abort();
        }
        self.0.count("closed");
        true
    }

    /// Returns whether a new connection would find a place.
    pub(crate) fn has_room(&self) -> bool {
        self.0.open().serving < self.0.most
    }
}

impl Inner {
    fn is_reached(&self) -> bool {
        let open = self.open();
        open.waiting.len() + open.serving >= self.most
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, decision: &'static str) {
        let listener = self.listener;
        counter!("kingcup_connections_limited", "listener" => listener, "decision" => decision)
            .increment(1);
    }
}

impl Open {
    fn add_waiting(&mut self, task: Option<AbortHandle>) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, task);
        self.next
    }
}

/// The place of one connection, free again when the value is dropped.
pub(crate) struct Place {
    limit: Arc<Inner>,
    state: Mutex<PlaceState>,
}

struct PlaceState {
    /// The number under which the connection waits; `None` while a request is served.
    number: Option<u64>,
    task: Option<AbortHandle>,
}

impl Place {
    /// Sets the task that serves the connection, which is aborted if its place is needed.
    fn set_task(&self, task: AbortHandle) {
        let mut state = self.state();
        let waiting = state.number.and_then(|number| {
            let mut open = self.limit.open();
            open.waiting.get_mut(&number).map(|waiting| *waiting = Some(task.clone()))
        });
        // Another connection has taken the place already.
        if waiting.is_none() && state.number.is_some() {
            task.abort();
        }
        state.task = Some(task);
    }

    /// Has the connection count as the one that has waited shortest: its peer has begun a request.
    pub(crate) fn renew(&self) {
        let mut state = self.state();
        let mut open = self.limit.open();
        let task = state.number.and_then(|number| open.waiting.remove(&number));
        if let Some(task) = task {
            state.number = Some(open.add_waiting(task));
        }
    }

    /// Keeps the place until the returned value is dropped: a request is being served.
    pub(crate) fn serve(self: &Arc<Place>) -> Serving {
        let mut state = self.state();
        let mut open = self.limit.open();
        let was_waiting = state.number.is_some_and(|number| open.waiting.remove(&number).is_some());
        if was_waiting {
            state.number = None;
            open.serving += 1;
        }
        Serving { place: was_waiting.then(|| self.clone()) }
    }

    /// Gives the place back, and takes one of another limit for the same connection.
    pub(crate) async fn move_to(&self, limit: &ConnectionLimit) -> Option<Arc<Place>> {
        self.leave();
        let place = limit.admit().await?;
        let task = self.state().task.clone();
        if let Some(task) = task {
            place.set_task(task);
        }
        Some(place)
    }

    /// Gives the place back.
    fn leave(&self) {
        if let Some(number) = self.state().number.take() {
            self.limit.open().waiting.remove(&number);
        }
    }

    fn state(&self) -> MutexGuard<'_, PlaceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Tells that a request is being served on a connection, which waits again when the value is dropped.
pub(crate) struct Serving {
    /// `None` if the connection is being closed for another one.
    place: Option<Arc<Place>>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        // If the connection has ended, its place is given back with this last reference to it.
        let Some(place) = self.place.take() else { return };
        let mut state = place.state();
        let mut open = place.limit.open();
        open.serving -= 1;
        let task = state.task.clone();
        state.number = Some(open.add_waiting(task));
    }
}
