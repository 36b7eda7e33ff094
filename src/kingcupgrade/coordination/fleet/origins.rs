//! Questions to other entries about where a stream began.

use std::collections::{BTreeMap, BTreeSet};

use super::{FleetNode, FleetOutput};
use crate::{
    core::{Instance, Millis},
    protocol::{
        Message,
        fleet::{FleetMessage, OriginRequest, StreamOrigin},
    },
};

/// A question is forgotten after this time; whoever asked has given up long before.
const QUESTION_TTL: Millis = Millis(2_000);

/// The questions of one entry that have no answer yet.
#[derive(Debug, Default)]
pub(super) struct OriginQuestions {
    open: BTreeMap<u64, Question>,
}

#[derive(Debug)]
struct Question {
    asked_at: Millis,
    /// The entries that have not answered.
    awaited: BTreeSet<Instance>,
    /// The best answer so far.
    origin: StreamOrigin,
}

impl OriginQuestions {
    /// Handles an answer, and returns the origin once it is decided: an entry knows the stream, or
    /// all have answered.
    fn on_answer(
        &mut self,
        from: &Instance,
        number: u64,
        origin: StreamOrigin,
    ) -> Option<StreamOrigin> {
        let question = self.open.get_mut(&number)?;
        question.awaited.remove(from);
        let is_recorded = origin.is_recorded();
        if origin != StreamOrigin::Unknown {
            question.origin = origin;
        }
        if !is_recorded && !question.awaited.is_empty() {
            return None;
        }
        self.open.remove(&number).map(|question| question.origin)
    }
}

impl FleetNode {
    /// Asks the entries that may know where a stream began. There is no answer if none is in touch.
    pub(super) fn ask_origin(
        &mut self,
        now: Millis,
        request: OriginRequest,
        out: &mut Vec<FleetOutput>,
    ) {
        self.origin_questions.open.retain(|_, q| now.since(q.asked_at) <= QUESTION_TTL);
        let asked = self.load_exchange.origin_keepers(&self.instance);
        if asked.is_empty() {
            return;
        }
        let awaited = asked.iter().cloned().collect();
        let question = Question { asked_at: now, awaited, origin: StreamOrigin::Unknown };
        self.origin_questions.open.insert(request.number, question);
        let message = Message::Fleet(FleetMessage::OriginRequest(request));
        out.push(FleetOutput::SendToAll(asked, message));
    }

    /// Handles another entry's answer.
    pub(super) fn on_origin(
        &mut self,
        from: &Instance,
        number: u64,
        origin: StreamOrigin,
        out: &mut Vec<FleetOutput>,
    ) {
        if let Some(origin) = self.origin_questions.on_answer(from, number, origin) {
            out.push(FleetOutput::OriginFound(number, origin));
        }
    }
}
