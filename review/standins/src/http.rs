//! HTTP/1.1 over blocking sockets, for clients and for servers.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

fn line(io: &mut impl BufRead) -> io::Result<String> {
    let mut out = Vec::new();
    io.read_until(b'\n', &mut out)?;
    if out.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&out);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

fn headers(io: &mut impl BufRead) -> io::Result<Headers> {
    let mut out = Headers::new();
    loop {
        let text = line(io)?;
        if text.is_empty() {
            return Ok(out);
        }
        if let Some((name, value)) = text.split_once(':') {
            out.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn chunk(io: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(io)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size];
    io.read_exact(&mut data)?;
    line(io)?;
    Ok(data)
}

/// Reads one request; an error at the end of the connection.
pub fn read_request(io: &mut impl BufRead) -> io::Result<Request> {
    let first = line(io)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut out = Request { method: method.into(), path: path.into(), ..Request::default() };
    out.headers = headers(io)?;
    if out.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let part = chunk(io)?;
            if part.is_empty() {
                break;
            }
            out.body.extend(part);
        }
    } else if let Ok(length) = out.header("content-length").parse() {
        out.body = vec![0; length];
        io.read_exact(&mut out.body)?;
    }
    Ok(out)
}

/// How a response ended, as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length, its last chunk, or a close without a length.
    Complete,
    /// Otherwise: reset, closed amid a length or a chunk, or out of time.
    Broken,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub end: End,
    /// `length`, `chunks` or `close`.
    pub framing: &'static str,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

/// Sends one request over a new connection and reads the response; `None` if there is no head.
pub fn call(to: SocketAddr, request: &str, body: &[u8], limit: Duration) -> Option<Response> {
    let end = Instant::now() + limit;
    let io = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    io.set_nodelay(true).ok()?;
    io.set_read_timeout(Some(limit)).ok()?;
    (&io).write_all(request.as_bytes()).ok()?;
    (&io).write_all(body).ok()?;
    let mut out = read_response_until(&mut BufReader::new(io), end)?;
    out.framing = match (out.header("transfer-encoding"), out.header("content-length")) {
        ("", "") => "close",
        ("", _) => "length",
        _ => "chunks",
    };
    Some(out)
}

/// Reads a response; `None` if there is no head.
pub fn read_response(io: &mut impl BufRead) -> Option<Response> {
    read_response_until(io, Instant::now() + Duration::from_secs(3_600))
}

fn read_response_until(mut io: &mut impl BufRead, end: Instant) -> Option<Response> {
    let first = line(&mut io).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = headers(&mut io).ok()?;
    let mut out =
        Response { status, headers, body: Vec::new(), end: End::Complete, framing: "close" };
    if out.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match chunk(&mut io) {
                Ok(part) if part.is_empty() => return Some(out),
                Ok(part) if Instant::now() < end => out.body.extend(part),
                Ok(_) | Err(_) => {
                    out.end = End::Broken;
                    return Some(out);
                }
            }
        }
    }
    if let Ok(length) = out.header("content-length").parse::<u64>() {
        let read = io.by_ref().take(length).read_to_end(&mut out.body);
        if read.is_err() || (out.body.len() as u64) < length {
            out.end = End::Broken;
        }
        return Some(out);
    }
    if io.read_to_end(&mut out.body).is_err() {
        out.end = End::Broken;
    }
    Some(out)
}
