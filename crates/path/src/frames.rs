//! Bytes of an endpoint on a relayed connection, with a mark at their end.
//!
//! The end of a connection between two instances shows nothing about the endpoint: it also comes when the
//! relay stops, is killed or gives up. A relay therefore sends the endpoint's bytes in frames, each
//! preceded by its length in two bytes, and an empty frame once the endpoint has closed its connection in
//! the ordinary way. A connection that ends without that mark was broken off.

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    std::io::{self, ErrorKind},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, join},
        net::TcpStream,
    },
    tokio_util::{codec::LengthDelimitedCodec, io::StreamReader},
};

/// Length of the prefix of a frame, in bytes.
const PREFIX: usize = 2;
/// Longest content of a frame that a relay sends, in bytes.
const MAX_CONTENT: usize = 8 << 10;

/// Sends the bytes of `from` in frames to `to`, and marks their end.
///
/// # Errors
///
/// Returns the error of either side. The end is not marked then.
pub async fn copy_framed(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut frame = vec![0; PREFIX + MAX_CONTENT];
    loop {
        let size = from.read(&mut frame[PREFIX..]).await?;
        let length = u16::try_from(size).expect("a frame is shorter than 64 KiB");
        frame[..PREFIX].copy_from_slice(&length.to_be_bytes());
        to.write_all(&frame[..PREFIX + size]).await?;
        if size == 0 {
            return to.shutdown().await;
        }
    }
}

/// Reads the content of frames from `io`, and writes to it unchanged. Reading fails with `UnexpectedEof` if
/// the connection ends without the mark.
pub fn read_framed(io: TcpStream) -> impl AsyncRead + AsyncWrite + Send + Unpin {
    let (reader, writer) = io.into_split();
    let frames = LengthDelimitedCodec::builder().length_field_length(PREFIX).new_read(reader);
    let content = stream::unfold(Some(frames), |frames| async {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(e)) => Some((Err(e), None)),
            None => Some((Err::<Bytes, _>(ErrorKind::UnexpectedEof.into()), None)),
        }
    });
    join(StreamReader::new(Box::pin(content)), writer)
}
