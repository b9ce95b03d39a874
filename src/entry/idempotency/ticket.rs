//! Tickets: idempotency keys that name the only entry that dispatches their requests.

use {
    crate::{
        peer::SharedKey,
        units::{Incarnation, ServiceName, VmName},
    },
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// The version of the ticket format, the first part of every ticket.
const TICKET_FORMAT: &str = "ggt1";

/// The length of the message authentication code, in hexadecimal digits.
const MAC_DIGITS: usize = 64;

/// The error of a text that is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a ticket")]
pub struct TicketError;

/// A ticket; its message authentication code need not have been verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The VM whose entry minted the ticket.
    pub vm: VmName,
    /// The incarnation of that entry.
    pub incarnation: Incarnation,
    /// The sequence number of the ticket among those of that incarnation.
    pub number: u64,
    /// The time when the ticket was minted, in milliseconds since the entry started.
    pub minted_ms: u64,
    mac: [u8; 32],
}

impl Ticket {
    /// Mints a ticket that is valid for one service.
    pub fn mint(
        key: &SharedKey,
        service: &ServiceName,
        vm: VmName,
        incarnation: Incarnation,
        number: u64,
        minted_ms: u64,
    ) -> Self {
        let mut ticket = Self {
            vm,
            incarnation,
            number,
            minted_ms,
            mac: [0; 32],
        };
        if let Some(mac) = ticket.compute_mac(key, service) {
            ticket.mac = mac.finalize().into_bytes().into();
        }
        ticket
    }

    /// Returns whether the ticket was minted with this key for this service.
    pub fn is_authentic(&self, key: &SharedKey, service: &ServiceName) -> bool {
        let mac = self.compute_mac(key, service);
        mac.is_some_and(|mac| mac.verify_slice(&self.mac).is_ok())
    }

    fn compute_mac(&self, key: &SharedKey, service: &ServiceName) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).ok()?;
        mac.update(service.as_str().as_bytes());
        mac.update(b"\n");
        mac.update(self.unsigned_text().as_bytes());
        Some(mac)
    }

    fn unsigned_text(&self) -> String {
        let Self {
            vm,
            incarnation,
            number,
            minted_ms,
            ..
        } = self;
        format!("{TICKET_FORMAT}.{vm}.{incarnation}.{number}.{minted_ms}")
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.unsigned_text(), hex::encode(self.mac))
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.rsplitn(5, '.');
        let mut next = || parts.next().ok_or(TicketError);
        let (mac_text, minted_ms, number, incarnation) = (next()?, next()?, next()?, next()?);
        let vm = next()?.strip_prefix(TICKET_FORMAT).ok_or(TicketError)?;
        let vm = vm.strip_prefix('.').ok_or(TicketError)?;
        let mut mac = [0; 32];
        if mac_text.len() != MAC_DIGITS {
            return Err(TicketError);
        }
        hex::decode_to_slice(mac_text, &mut mac).map_err(|_| TicketError)?;
        Ok(Self {
            vm: vm.parse().map_err(|_| TicketError)?,
            incarnation: incarnation.parse().map_err(|_| TicketError)?,
            number: number.parse().map_err(|_| TicketError)?,
            minted_ms: minted_ms.parse().map_err(|_| TicketError)?,
            mac,
        })
    }
}
