//! Serializes the experts by set and rank as a short text with two characters per expert.
//!
//! A leader sends each rank the complete map, over links of a few megabits a second.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Separates the ranks of a set.
const RANK_END: char = ',';
/// Separates the sets.
const SET_END: char = ';';

/// Appends a number below 4,096 to `text`.
pub(super) fn write_number(text: &mut String, number: u16) {
    let character = |bits: u16| char::from(ALPHABET[usize::from(bits & 63)]);
    text.push(character(number >> 6));
    text.push(character(number));
}

fn decode_character(character: u8) -> Option<u16> {
    ALPHABET.iter().position(|other| *other == character).and_then(|at| u16::try_from(at).ok())
}

/// Reads the number at the start of `rest` and advances `rest` past it.
pub(super) fn read_number(rest: &mut &str) -> Option<u16> {
    let characters = rest.as_bytes().get(..2)?;
    let number = decode_character(characters[0])? << 6 | decode_character(characters[1])?;
    // Both characters are one byte long, so the rest is still valid UTF-8.
    *rest = rest.get(2..)?;
    Some(number)
}

fn read_experts(text: &str) -> Option<Vec<u16>> {
    let mut rest = text;
    let mut experts = Vec::with_capacity(text.len() / 2);
    while !rest.is_empty() {
        experts.push(read_number(&mut rest)?);
    }
    Some(experts)
}

/// Serializes a map; the numbers of its experts must be below 4,096.
pub fn serialize<S: Serializer>(map: &[Vec<Vec<u16>>], serializer: S) -> Result<S::Ok, S::Error> {
    let mut text = String::new();
    for (at, set) in map.iter().enumerate() {
        if at > 0 {
            text.push(SET_END);
        }
        for (at, experts) in set.iter().enumerate() {
            if at > 0 {
                text.push(RANK_END);
            }
            experts.iter().for_each(|number| write_number(&mut text, *number));
        }
    }
    serializer.serialize_str(&text)
}

/// Deserializes a map.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Vec<Vec<u16>>>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let set_of = |set: &str| set.split(RANK_END).map(read_experts).collect::<Option<Vec<_>>>();
    let map = text.split(SET_END).map(set_of).collect::<Option<Vec<_>>>();
    map.ok_or_else(|| {
        D::Error::custom(
            "the map contains characters that do not encode an expert number; use pairs of A-Z, a-z, 0-9, - and _",
        )
    })
}
