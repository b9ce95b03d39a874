//! Checks a streamed answer against the text that must come.

use {
    crate::standin::{ReferenceText, TOKEN_BYTES},
    serde::Deserialize,
    std::borrow::Cow,
    thiserror::Error,
};

/// What is wrong with an answer that looked good.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WrongAnswer {
    /// Its text is not the one that was requested.
    #[error("foreign text")]
    Foreign,
    /// It ended as if whole but was not.
    #[error("cut short")]
    Short,
    /// It went on after its end.
    #[error("too long")]
    Long,
    /// It cannot be read.
    #[error("unreadable")]
    Unreadable,
}

#[derive(Debug, Deserialize)]
struct Answer<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Cow<'a, str>,
}

/// Follows the events of one streamed answer.
#[derive(Debug)]
pub struct StreamVerifier {
    expected: ReferenceText,
    tokens: u32,
    received: u32,
    unread: Vec<u8>,
    done: bool,
}

impl StreamVerifier {
    /// Makes the verifier of an answer of so many tokens.
    pub fn new(expected: ReferenceText, tokens: u32) -> Self {
        Self {
            expected,
            tokens,
            received: 0,
            unread: Vec::new(),
            done: false,
        }
    }

    /// Returns the tokens received so far.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Returns whether the end was marked.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Takes a piece of the body and returns how many tokens it completed.
    ///
    /// # Errors
    ///
    /// Fails at the first text that should not be there.
    pub fn take(&mut self, piece: &[u8]) -> Result<u32, WrongAnswer> {
        let before = self.received;
        self.unread.extend_from_slice(piece);
        let unread = std::mem::take(&mut self.unread);
        let mut rest = unread.as_slice();
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.take_line(&rest[..end])?;
            rest = &rest[end + 1..];
        }
        self.unread = rest.to_vec();
        Ok(self.received - before)
    }

    /// Judges the answer at the end of its body; `false` means that it broke off visibly.
    ///
    /// # Errors
    ///
    /// Fails when it was marked as whole but is not.
    pub fn finish(&self) -> Result<bool, WrongAnswer> {
        match (self.done, self.received == self.tokens) {
            (true, false) => Err(WrongAnswer::Short),
            (done, _) => Ok(done),
        }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), WrongAnswer> {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if data.trim_ascii() == b"[DONE]" {
            self.done = true;
            return Ok(());
        }
        let Ok(answer) = serde_json::from_slice::<Answer<'_>>(data) else {
            // An event that is no choice is the visible error of a stream that breaks off.
            return Ok(());
        };
        let text: String = answer.choices.iter().map(|choice| &*choice.text).collect();
        let tokens = text.len().div_ceil(TOKEN_BYTES) as u32;
        let range = self.received..self.received + tokens;
        if self.done || range.end > self.tokens {
            return Err(WrongAnswer::Long);
        }
        if !self.expected.matches(range, &text) {
            return Err(WrongAnswer::Foreign);
        }
        self.received += tokens;
        Ok(())
    }
}

/// Judges a whole answer.
///
/// # Errors
///
/// Fails when its text is not exactly the expected one.
pub fn verify_whole(expected: ReferenceText, tokens: u32, body: &[u8]) -> Result<(), WrongAnswer> {
    let answer: Answer<'_> = serde_json::from_slice(body).map_err(|_| WrongAnswer::Unreadable)?;
    let text: String = answer.choices.iter().map(|choice| &*choice.text).collect();
    if expected.matches(0..tokens, &text) {
        return Ok(());
    }
    let wanted = tokens as usize * TOKEN_BYTES;
    if text.len() < wanted {
        Err(WrongAnswer::Short)
    } else {
        Err(WrongAnswer::Foreign)
    }
}
