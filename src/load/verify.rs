//! Verifies completions, streamed or not, against the reference text of the stand-in engines.

use {
    crate::standin::{ReferenceText, TOKEN_BYTES},
    serde::Deserialize,
    std::borrow::Cow,
    thiserror::Error,
};

/// Why a response with a success status is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidResponse {
    /// The text differs from the reference text.
    #[error("foreign text")]
    UnexpectedText,
    /// The response ended as if complete, but tokens are missing.
    #[error("cut short")]
    Truncated,
    /// The response has text after its last expected token or after its end marker.
    #[error("too long")]
    TooLong,
    /// The response cannot be parsed.
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

/// Verifies the events of one streamed completion as they arrive.
#[derive(Debug)]
pub struct StreamVerifier {
    expected: ReferenceText,
    tokens: u32,
    received: u32,
    unparsed: Vec<u8>,
    is_done: bool,
}

impl StreamVerifier {
    /// Creates a verifier for a completion of `tokens` tokens.
    pub fn new(expected: ReferenceText, tokens: u32) -> Self {
        Self {
            expected,
            tokens,
            received: 0,
            unparsed: Vec::new(),
            is_done: false,
        }
    }

    /// Returns the number of tokens received so far.
    pub fn received_tokens(&self) -> u32 {
        self.received
    }

    /// Returns whether the end marker of the stream was received.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Verifies the events that a chunk of the body completes and returns how many tokens they have.
    ///
    /// # Errors
    ///
    /// Fails at the first event whose text is not the expected one.
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

    /// Verifies the completion at the end of its body.
    ///
    /// Returns `false` if the stream ended without its end marker, which the caller can see.
    ///
    /// # Errors
    ///
    /// Fails if the stream has its end marker but tokens are missing.
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
            // An event without choices is the error event that ends a failed stream.
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

/// Verifies a completion that is not streamed.
///
/// # Errors
///
/// Fails if the body cannot be parsed or its text is not exactly the expected one.
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
