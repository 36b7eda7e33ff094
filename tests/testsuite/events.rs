//! Whole events of streamed answers, however their bytes arrive.

use bytes::Bytes;
use kingcupgrade::transport::gateway::events::EventSplitter;
use proptest::prelude::*;

proptest! {
    /// An upstream's bytes arrive in pieces that have nothing to do with its events, and it may
    /// stop in the middle of one. A caller must get whole events only, each once and in order.
    #[test]
    fn events_are_passed_on_whole_however_they_arrive(
        count in 1_u64..40,
        cuts in proptest::collection::vec(1_usize..50, 1..60),
        missing in 0_usize..20,
    ) {
        let whole: String = (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        let sent = &whole.as_bytes()[..whole.len().saturating_sub(missing)];
        let mut splitter = EventSplitter::default();
        let (mut passed, mut last, mut events) = (Vec::new(), None, 0);
        let (mut at, mut turn) = (0, 0);
        while at < sent.len() {
            let end = (at + cuts[turn % cuts.len()]).min(sent.len());
            if let Some(cut) = splitter.push(&Bytes::copy_from_slice(&sent[at..end])) {
                prop_assert!(cut.bytes.ends_with(b"\n\n"));
                passed.extend_from_slice(&cut.bytes);
                last = cut.last_id.or(last);
                events += u64::from(cut.count);
            }
            (at, turn) = (end, turn + 1);
        }
        prop_assert_eq!(passed.as_slice(), &sent[..passed.len()]);
        prop_assert_eq!(passed.len() + splitter.pending(), sent.len());
        prop_assert_eq!(last.unwrap_or(0), events);
        prop_assert_eq!(splitter.pending() == 0, missing == 0 || passed.len() == sent.len());
    }
}
