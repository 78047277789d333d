//! The greeting: the first frame each way, which says who somebody is and whom it means.

use super::Transport;
use crate::net::fleet::frame::{encode_body, ConnectionError, FrameCodec, FrameError, FrameKind};
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

/// Bytes that are read from a connection at a time.
const READ_BUFFER: usize = 4096;

/// The end of a connection that frames are read from.
pub(super) type Reader = FramedRead<OwnedReadHalf, FrameCodec>;

/// The first frame each way.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) name: String,
    /// Whom the sender means to greet: an address may have passed to another.
    pub(super) to: String,
    /// Drawn at the sender's start.
    pub(super) life: u64,
}

/// Splits a connection into its reader of frames and its writer.
pub(super) fn split(stream: TcpStream, codec: FrameCodec) -> (Reader, OwnedWriteHalf) {
    let (reader, writer) = stream.into_split();
    (
        FramedRead::with_capacity(reader, codec, READ_BUFFER),
        writer,
    )
}

impl Transport {
    pub(super) async fn send_hello(
        &self,
        writer: &mut OwnedWriteHalf,
        to: &str,
    ) -> Result<(), ConnectionError> {
        let hello = Hello {
            name: self.section.own.clone(),
            to: to.to_owned(),
            life: self.life,
        };
        let frame = self
            .codec
            .encode(FrameKind::Hello, &encode_body(&hello))
            .ok_or(FrameError::Size(0))?;
        Ok(writer.write_all(&frame).await?)
    }

    pub(super) async fn receive_hello(
        &self,
        reader: &mut Reader,
    ) -> Result<Hello, ConnectionError> {
        let frame = reader
            .next()
            .await
            .ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))??;
        let hello: Option<Hello> = (frame.kind == Some(FrameKind::Hello))
            .then(|| frame.decode_body())
            .flatten();
        let hello = hello.ok_or(FrameError::Magic)?;
        if hello.to != self.section.own || hello.name == self.section.own {
            self.counters.borrow_mut().wrong_name += 1;
            return Err(io::Error::from(io::ErrorKind::AddrNotAvailable).into());
        }
        Ok(hello)
    }
}
