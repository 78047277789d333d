//! The handshake: the first frame in each direction, which carries the names of its sender and of
//! the receiver that it is meant for.

use super::Transport;
use crate::net::fleet::frame::{encode_body, ConnectionError, FrameCodec, FrameError, FrameKind};
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

/// Initial capacity of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// The read half of a connection, decoded into frames.
pub(super) type FrameReader = FramedRead<OwnedReadHalf, FrameCodec>;

/// The body of a handshake frame. The fields are encoded in this order.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    /// The sender's name.
    pub(super) name: String,
    /// The name of the gateway that the hello is meant for. Its address may have been reassigned to
    /// another gateway.
    pub(super) to: String,
    /// The instance id of the sender's process, new at each start.
    pub(super) instance_id: u64,
}

/// Why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandshakeError {
    /// The hello could not be read or written.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The hello is meant for another gateway, or comes from another one than was dialed.
    #[error("the hello is from or for an unexpected gateway")]
    WrongName,
}

impl From<FrameError> for HandshakeError {
    fn from(error: FrameError) -> HandshakeError {
        HandshakeError::Connection(error.into())
    }
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> HandshakeError {
        HandshakeError::Connection(error.into())
    }
}

/// The two halves of a connection before its handshake.
pub(super) struct ConnectionHalves {
    pub(super) reader: FrameReader,
    pub(super) writer: OwnedWriteHalf,
}

/// A connection after its handshake.
pub(super) struct EstablishedConnection {
    pub(super) reader: FrameReader,
    pub(super) writer: OwnedWriteHalf,
    /// The instance id of the process at the other end.
    pub(super) instance_id: u64,
}

impl ConnectionHalves {
    /// Splits a connection into its read half and its write half.
    pub(super) fn new(stream: TcpStream, codec: FrameCodec) -> ConnectionHalves {
        let (reader, writer) = stream.into_split();
        ConnectionHalves {
            reader: FramedRead::with_capacity(reader, codec, READ_BUFFER_BYTES),
            writer,
        }
    }

    /// Returns the connection after a handshake with the process that has this instance id.
    pub(super) fn establish(self, instance_id: u64) -> EstablishedConnection {
        EstablishedConnection {
            reader: self.reader,
            writer: self.writer,
            instance_id,
        }
    }
}

impl Transport {
    /// Sends this gateway's hello to the gateway called `to`.
    pub(super) async fn send_hello(
        &self,
        writer: &mut OwnedWriteHalf,
        to: &str,
    ) -> Result<(), HandshakeError> {
        let hello = Hello {
            name: self.section.local_name.clone(),
            to: to.to_owned(),
            instance_id: self.instance_id,
        };
        let body = encode_body(&hello);
        let frame = self
            .codec
            .encode(FrameKind::Hello, &body)
            .ok_or(FrameError::TooLong(0))?;
        writer.write_all(&frame).await?;
        Ok(())
    }

    /// Receives the peer's hello. A hello that is meant for another gateway, or comes from one with
    /// this gateway's own name, is counted and rejected.
    pub(super) async fn receive_hello(
        &self,
        reader: &mut FrameReader,
    ) -> Result<Hello, HandshakeError> {
        let frame = reader
            .next()
            .await
            .ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))??;
        if frame.kind != Some(FrameKind::Hello) {
            return Err(FrameError::Malformed.into());
        }
        let hello: Hello = frame.decode_body().ok_or(FrameError::Malformed)?;
        if hello.to != self.section.local_name || hello.name == self.section.local_name {
            self.counters.borrow_mut().wrong_name += 1;
            return Err(HandshakeError::WrongName);
        }
        Ok(hello)
    }
}
