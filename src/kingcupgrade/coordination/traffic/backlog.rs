//! Prompt tokens of one entry's requests that an engine has not read yet.
//!
//! An engine reads prompts in the order of their arrival. If a prompt counted in full until its
//! first event, a long one would look unread long after most of it has been read, and requests
//! would be sent away from an engine that is about to be free. So the estimate shrinks with time,
//! oldest prompt first, and a first event clears its own prompt and all before it.

use std::collections::VecDeque;

use super::demand::RequestNo;
use crate::core::Millis;

#[derive(Clone, Debug)]
struct Prompt {
    no: RequestNo,
    tokens_left: f64,
}

/// The unread prompts of one entry at one engine, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    prompts: VecDeque<Prompt>,
    at: Millis,
}

impl Backlog {
    /// Adds a prompt.
    pub fn push(&mut self, no: RequestNo, tokens: u64) {
        if tokens > 0 {
            self.prompts.push_back(Prompt { no, tokens_left: tokens as f64 });
        }
    }

    /// Advances the estimate by the time since the last call; `rate` is this entry's share of the
    /// engine's read rate, in tokens per millisecond.
    pub fn advance(&mut self, now: Millis, rate: f64) {
        let mut tokens = now.since(self.at).0 as f64 * rate;
        self.at = now;
        while let Some(first) = self.prompts.front_mut() {
            if first.tokens_left > tokens {
                first.tokens_left -= tokens;
                return;
            }
            tokens -= first.tokens_left;
            self.prompts.pop_front();
        }
    }

    /// Records the first event of a request: its prompt and all before it have been read.
    pub fn on_first_event(&mut self, no: RequestNo) {
        if let Some(position) = self.prompts.iter().position(|prompt| prompt.no == no) {
            self.prompts.drain(..=position);
        }
    }

    /// Removes a request that ended without a first event.
    pub fn remove(&mut self, no: RequestNo) {
        self.prompts.retain(|prompt| prompt.no != no);
    }

    /// Returns the estimated number of unread tokens.
    pub fn tokens(&self) -> u64 {
        self.prompts.iter().map(|prompt| prompt.tokens_left as u64).sum()
    }
}
