//! Checks a streamed answer against the text that must come.

use {
    crate::standin::{ReferenceText, TOKEN_BYTES},
    serde::Deserialize,
    std::borrow::Cow,
    thiserror::Error,
};

/// What is wrong with an answer that looked good.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidResponse {
    /// Its text is not the one that was requested.
    #[error("foreign text")]
    UnexpectedText,
    /// It ended as if whole but was not.
    #[error("cut short")]
    Truncated,
    /// It went on after its end.
    #[error("too long")]
    TooLong,
    /// It cannot be read.
    #[error("unreadable")]
    Malformed,
}

#[derive(Debug, Deserialize)]
struct CompletionBody<'a> {
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
    unparsed: Vec<u8>,
    is_done: bool,
}

impl StreamVerifier {
    /// Makes the verifier of an answer of so many tokens.
    pub fn new(expected: ReferenceText, tokens: u32) -> Self {
        Self {
            expected,
            tokens,
            received: 0,
            unparsed: Vec::new(),
            is_done: false,
        }
    }

    /// Returns the tokens received so far.
    pub fn received_tokens(&self) -> u32 {
        self.received
    }

    /// Returns whether the end was marked.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Takes a piece of the body and returns how many tokens it completed.
    ///
    /// # Errors
    ///
    /// Fails at the first text that should not be there.
    pub fn process_chunk(&mut self, chunk: &[u8]) -> Result<u32, InvalidResponse> {
        let before = self.received;
        self.unparsed.extend_from_slice(chunk);
        let unparsed = std::mem::take(&mut self.unparsed);
        let mut rest = unparsed.as_slice();
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.process_line(&rest[..end])?;
            rest = &rest[end + 1..];
        }
        self.unparsed = rest.to_vec();
        Ok(self.received - before)
    }

    /// Judges the answer at the end of its body; `false` means that it broke off visibly.
    ///
    /// # Errors
    ///
    /// Fails when it was marked as whole but is not.
    pub fn finish(&self) -> Result<bool, InvalidResponse> {
        match (self.is_done, self.received == self.tokens) {
            (true, false) => Err(InvalidResponse::Truncated),
            (is_done, _) => Ok(is_done),
        }
    }

    fn process_line(&mut self, line: &[u8]) -> Result<(), InvalidResponse> {
        let Some(data) = line.strip_prefix(b"data: ") else {
            return Ok(());
        };
        if data.trim_ascii() == b"[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let Ok(completion) = serde_json::from_slice::<CompletionBody<'_>>(data) else {
            // An event that is no choice is the visible error of a stream that breaks off.
            return Ok(());
        };
        let text: String = completion
            .choices
            .iter()
            .map(|choice| &*choice.text)
            .collect();
        let tokens = text.len().div_ceil(TOKEN_BYTES) as u32;
        let range = self.received..self.received + tokens;
        if self.is_done || range.end > self.tokens {
            return Err(InvalidResponse::TooLong);
        }
        if !self.expected.matches(range, &text) {
            return Err(InvalidResponse::UnexpectedText);
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
pub fn verify_response(
    expected: ReferenceText,
    tokens: u32,
    body: &[u8],
) -> Result<(), InvalidResponse> {
    let completion: CompletionBody<'_> =
        serde_json::from_slice(body).map_err(|_| InvalidResponse::Malformed)?;
    let text: String = completion
        .choices
        .iter()
        .map(|choice| &*choice.text)
        .collect();
    if expected.matches(0..tokens, &text) {
        return Ok(());
    }
    let expected_bytes = tokens as usize * TOKEN_BYTES;
    if text.len() < expected_bytes {
        Err(InvalidResponse::Truncated)
    } else {
        Err(InvalidResponse::UnexpectedText)
    }
}
