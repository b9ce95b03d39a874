//! Messages of HTTP/1.1 on one connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request or a response without its body.
#[derive(Debug, Clone)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Head { first, headers });
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok(data)
}

pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let size = head.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; size.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let size = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {size}\r\n\r\n{body}").into_bytes()
}

/// Serves connections of a listener, each by a thread of its own.
pub fn serve<S: Send + Sync + 'static>(
    listener: TcpListener,
    state: Arc<S>,
    connection: fn(&S, &mut BufReader<TcpStream>, &mut TcpStream) -> io::Result<()>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while connection(&state, &mut reader, &mut writer).is_ok() {}
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn send(writer: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    writer.write_all(bytes)
}
