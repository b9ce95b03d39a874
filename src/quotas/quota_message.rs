//! The messages between a node and the homes of a workspace, a datagram each.

use {
    super::{AllowanceAnswer, HomeAnswer},
    crate::workspaces::WorkspaceName,
    serde::{Deserialize, Serialize},
};

/// The prefix of every message; its last byte is the version of the encoding.
const MAGIC: [u8; 4] = *b"ggq\x01";

/// A message between a node and a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// A node asks for allowance.
    Ask {
        /// Identifies the answer.
        number: u64,
        /// The workspace.
        workspace: WorkspaceName,
        /// The least amount that is of use.
        least: u64,
        /// The most that is wanted.
        most: u64,
    },
    /// A home granted an amount.
    Granted {
        /// The number of the question.
        number: u64,
        /// The amount.
        amount: u64,
        /// The demand at all nodes, in thousandths of the quota.
        demand_permille: u32,
    },
    /// A home granted nothing.
    Denied {
        /// The number of the question.
        number: u64,
        /// After which time the amount is expected, in milliseconds.
        wait_ms: u32,
        /// The demand at all nodes, in thousandths of the quota.
        demand_permille: u32,
    },
    /// The node that was asked is no home of the workspace, or may not grant now.
    NoHome {
        /// The number of the question.
        number: u64,
    },
}

impl QuotaMessage {
    /// Returns the answer to a question; `None` from a node that is no home.
    pub fn answer(number: u64, answer: Option<HomeAnswer>) -> Self {
        let Some(HomeAnswer {
            answer,
            demand_permille,
        }) = answer
        else {
            return Self::NoHome { number };
        };
        match answer {
            AllowanceAnswer::Granted(amount) => Self::Granted {
                number,
                amount,
                demand_permille,
            },
            AllowanceAnswer::Denied(wait) => Self::Denied {
                number,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
                demand_permille,
            },
        }
    }

    /// Returns the bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory does not fail.
        postcard::to_extend(self, MAGIC.to_vec()).unwrap_or_default()
    }

    /// Reads a message; `None` for anything else.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes.strip_prefix(&MAGIC)?).ok()
    }
}
