//! The text that a stand-in engine generates, so that a checker can tell foreign or cut text.

use std::ops::Range;

/// The bytes of one token: a space and five letters.
pub const TOKEN_BYTES: usize = 6;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The text that follows from the name called and the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReferenceText {
    seed: u64,
}

impl ReferenceText {
    /// Makes the text for a model or adapter, as callers name it, and a prompt.
    pub fn new(name: &str, prompt: &str) -> Self {
        let bytes = name.bytes().chain([0]).chain(prompt.bytes());
        let seed = bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self { seed }
    }

    /// Returns one token, counted from zero.
    pub fn token(self, at: u32) -> [u8; TOKEN_BYTES] {
        let mut bits = mix(self.seed.wrapping_add(u64::from(at)));
        let mut token = [b' '; TOKEN_BYTES];
        for letter in &mut token[1..] {
            *letter = b'a' + (bits % 26) as u8;
            bits /= 26;
        }
        token
    }

    /// Returns the tokens of a range as text.
    pub fn text(self, tokens: Range<u32>) -> String {
        let mut text = String::with_capacity(tokens.len() * TOKEN_BYTES);
        for at in tokens {
            text.extend(self.token(at).map(char::from));
        }
        text
    }

    /// Returns whether `text` is exactly the tokens of a range.
    pub fn matches(self, tokens: Range<u32>, text: &str) -> bool {
        let whole = text.len() == tokens.len() * TOKEN_BYTES;
        let pieces = text.as_bytes().chunks(TOKEN_BYTES);
        whole
            && tokens
                .zip(pieces)
                .all(|(at, piece)| self.token(at) == *piece)
    }
}

/// Spreads nearby numbers over all 64 bits.
fn mix(seed: u64) -> u64 {
    let mut bits = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
