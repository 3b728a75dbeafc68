//! What a caller sees as whole is byte for byte the answer to its own request.

use ochreyard_core::frame::{Frame, FrameAction, FrameBody, FrameError, FrameReader, FrameWriter};
use ochreyard_core::ids::{AttemptId, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

fn attempt(request: u64) -> AttemptId {
    AttemptId::new(Incarnation(9), request, 1)
}

fn head() -> FrameBody {
    FrameBody::Head { status: 200, content_type: "text/plain".into() }
}

fn answer(attempt: AttemptId, parts: &[Vec<u8>]) -> Vec<Frame> {
    let mut writer = FrameWriter::new(attempt);
    let mut frames = vec![writer.frame(head())];
    frames.extend(parts.iter().map(|part| writer.frame(FrameBody::Data(part.clone()))));
    frames.push(writer.end());
    frames
}

/// What a caller gets: the bytes that were passed on, and whether they looked whole.
fn receive(attempt: AttemptId, frames: impl IntoIterator<Item = Frame>) -> (Vec<u8>, bool) {
    let mut reader = FrameReader::new(attempt);
    let mut body = Vec::new();
    for frame in frames {
        match reader.accept(frame) {
            Ok(FrameAction::Forward(FrameBody::Data(bytes))) => body.extend(bytes),
            Ok(_) => {}
            Err(_) => return (body, false),
        }
    }
    (body, reader.is_complete())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Frames of two answers cross, are lost, repeated, late, cut and damaged.
    #[test]
    fn what_looks_whole_is_the_own_answer(
        own in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..5), 0..6),
        other in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..5), 0..6),
        picks in prop::collection::vec((any::<bool>(), 0..9usize, prop::option::weighted(0.1, any::<u8>())), 0..24),
    ) {
        let sources = [answer(attempt(1), &own), answer(attempt(2), &other)];
        let frames = picks.iter().filter_map(|(crossed, at, damage)| {
            let mut frame = sources[usize::from(*crossed)].get(*at)?.clone();
            if let (Some(byte), FrameBody::Data(bytes)) = (damage, &mut frame.body) {
                bytes.push(*byte);
            }
            Some(frame)
        });
        let (body, whole) = receive(attempt(1), frames);
        prop_assert!(!whole || body == own.concat());
    }

    /// Nearly the own answer: one frame is lost, damaged, emptied or another's.
    /// scripts/prove found that the property above hardly ever comes to an end.
    #[test]
    fn nearly_the_own_answer_does_not_look_whole(
        own in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..5), 1..6),
        other in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..5), 1..6),
        at in any::<prop::sample::Index>(),
        fault in 0..4u8,
    ) {
        let mut frames = answer(attempt(1), &own);
        let at = 1 + at.index(own.len());
        match fault {
            0 => drop(frames.remove(at)),
            1 => if let FrameBody::Data(bytes) = &mut frames[at].body { bytes[0] ^= 1 },
            2 => if let FrameBody::Data(bytes) = &mut frames[at].body { bytes.clear() },
            _ => frames[at] = answer(attempt(2), &other)[1].clone(),
        }
        prop_assert!(!receive(attempt(1), frames).1);
    }

    /// Repeats and strangers between the own frames in order do no harm.
    #[test]
    fn the_own_answer_arrives_whole_among_repeats_and_strangers(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..5), 0..6),
        noise in prop::collection::vec((any::<bool>(), 0..9usize), 0..9),
    ) {
        let own = answer(attempt(1), &parts);
        let stranger = answer(attempt(2), &parts);
        let mut frames = Vec::new();
        for (at, frame) in own.iter().enumerate() {
            frames.push(frame.clone());
            for (crossed, pick) in &noise {
                let source = if *crossed { &stranger } else { &own };
                // A repeat of what has come, or any frame of the stranger's.
                frames.extend(source.get(*pick).filter(|_| *crossed || *pick <= at).cloned());
            }
        }
        prop_assert_eq!(receive(attempt(1), frames), (parts.concat(), true));
    }
}

#[rstest]
#[case::a_missing_part(vec![0, 2, 3], FrameError::Gap)]
#[case::no_head(vec![1], FrameError::Gap)]
fn a_hole_breaks_the_answer(#[case] order: Vec<usize>, #[case] fault: FrameError) {
    let frames = answer(attempt(1), &[b"a".to_vec(), b"b".to_vec()]);
    let mut reader = FrameReader::new(attempt(1));
    let verdict = order.iter().map(|at| reader.accept(frames[*at].clone())).find_map(Result::err);
    assert_eq!(verdict, Some(fault));
}

#[test]
fn a_cut_answer_is_not_whole() {
    let frames = answer(attempt(1), &[b"a".to_vec(), b"b".to_vec()]);
    for length in 0..frames.len() {
        assert!(!receive(attempt(1), frames[..length].to_vec()).1);
    }
}
