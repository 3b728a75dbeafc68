//! Experts by set and rank as one short text: two signs an expert.
//!
//! A leader sends each rank the whole map, over links of a few megabits a second.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Between ranks of a set.
const RANK_END: char = ',';
/// Between sets.
const SET_END: char = ';';

/// Writes a number below 4,096.
pub(super) fn put(text: &mut String, expert: u16) {
    let sign = |bits: u16| char::from(SIGNS[usize::from(bits & 63)]);
    text.push(sign(expert >> 6));
    text.push(sign(expert));
}

fn sign_value(sign: u8) -> Option<u16> {
    SIGNS.iter().position(|other| *other == sign).and_then(|at| u16::try_from(at).ok())
}

/// Reads the number at the start of `rest`, and goes on behind it.
pub(super) fn take(rest: &mut &str) -> Option<u16> {
    let pair = rest.as_bytes().get(..2)?;
    let number = sign_value(pair[0])? << 6 | sign_value(pair[1])?;
    // Both are signs of one byte, so what follows is text.
    *rest = rest.get(2..)?;
    Some(number)
}

fn held_of(text: &str) -> Option<Vec<u16>> {
    let mut rest = text;
    let mut held = Vec::with_capacity(text.len() / 2);
    while !rest.is_empty() {
        held.push(take(&mut rest)?);
    }
    Some(held)
}

/// Writes a map; numbers of experts are below 4,096.
pub fn serialize<S: Serializer>(map: &[Vec<Vec<u16>>], serializer: S) -> Result<S::Ok, S::Error> {
    let mut text = String::new();
    for (at, set) in map.iter().enumerate() {
        if at > 0 {
            text.push(SET_END);
        }
        for (at, held) in set.iter().enumerate() {
            if at > 0 {
                text.push(RANK_END);
            }
            held.iter().for_each(|expert| put(&mut text, *expert));
        }
    }
    serializer.serialize_str(&text)
}

/// Reads a map.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Vec<Vec<u16>>>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let set_of = |set: &str| set.split(RANK_END).map(held_of).collect::<Option<Vec<_>>>();
    let map = text.split(SET_END).map(set_of).collect::<Option<Vec<_>>>();
    map.ok_or_else(|| D::Error::custom("a map holds a sign that stands for no expert"))
}
