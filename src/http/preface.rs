//! Waits for the bytes of a connection that determine its HTTP version.

use {
    std::{io, time::Duration},
    tokio::{net::TcpStream, time},
};

/// The bytes with which an HTTP/2 connection starts.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The delay before a partially received preface is checked again.
const PARTIAL_PREFACE_DELAY: Duration = Duration::from_millis(5);

/// Waits until the received bytes determine the HTTP version of a connection.
///
/// # Errors
///
/// Fails if the connection is closed first.
pub(super) async fn wait_for_preface(stream: &TcpStream) -> io::Result<()> {
    let mut received = [0; HTTP2_PREFACE.len()];
    loop {
        let length = stream.peek(&mut received).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let is_partial =
            length < HTTP2_PREFACE.len() && HTTP2_PREFACE.starts_with(&received[..length]);
        if !is_partial {
            return Ok(());
        }
        time::sleep(PARTIAL_PREFACE_DELAY).await;
    }
}
