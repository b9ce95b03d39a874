//! Waits for the first bytes of a connection.

use {
    std::{io, time::Duration},
    tokio::{net::TcpStream, time},
};

/// What an HTTP/2 connection starts with.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The wait before looking again at a preface of which only a part has come.
const PART_WAIT: Duration = Duration::from_millis(5);

/// Waits until a connection shows which version of HTTP it speaks.
///
/// # Errors
///
/// Fails when the connection ends first.
pub(super) async fn wait_for_preface(stream: &TcpStream) -> io::Result<()> {
    let mut start = [0; HTTP2_PREFACE.len()];
    loop {
        let length = stream.peek(&mut start).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let part = length < HTTP2_PREFACE.len() && HTTP2_PREFACE.starts_with(&start[..length]);
        if !part {
            return Ok(());
        }
        time::sleep(PART_WAIT).await;
    }
}
