//! Splitting of streamed answers into complete events.

use bytes::Bytes;
use kingcupgrade::transport::gateway::events::EventSplitter;
use proptest::prelude::*;

proptest! {
    /// Guards against partial, duplicated or reordered events at the caller: an upstream's bytes
    /// arrive in pieces unrelated to event boundaries, and may end in the middle of an event.
    #[test]
    fn events_are_passed_on_whole_however_they_arrive(
        count in 1_u64..40,
        sizes in proptest::collection::vec(1_usize..50, 1..60),
        missing in 0_usize..20,
    ) {
        let stream: String = (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
        let sent = &stream.as_bytes()[..stream.len().saturating_sub(missing)];
        let mut splitter = EventSplitter::default();
        let (mut forwarded, mut last_id, mut events) = (Vec::new(), None, 0);
        let (mut offset, mut round) = (0, 0);
        while offset < sent.len() {
            let end = (offset + sizes[round % sizes.len()]).min(sent.len());
            if let Some(complete) = splitter.push(&Bytes::copy_from_slice(&sent[offset..end])) {
                prop_assert!(complete.bytes.ends_with(b"\n\n"));
                forwarded.extend_from_slice(&complete.bytes);
                last_id = complete.last_id.or(last_id);
                events += u64::from(complete.count);
            }
            (offset, round) = (end, round + 1);
        }
        prop_assert_eq!(forwarded.as_slice(), &sent[..forwarded.len()]);
        prop_assert_eq!(forwarded.len() + splitter.pending(), sent.len());
        prop_assert_eq!(last_id.unwrap_or(0), events);
        prop_assert_eq!(splitter.pending() == 0, missing == 0 || forwarded.len() == sent.len());
    }
}
