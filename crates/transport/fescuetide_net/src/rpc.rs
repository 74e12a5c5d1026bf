//! Control RPC connections: tarpc over TCP with postcard encoding and byte counting.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use fescuetide_base::SpanMillis;
use fescuetide_wire::codec;
use futures::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tarpc::ClientMessage;
use tarpc::RequestName;
use tarpc::Response;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Serve;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::ControlMeter;

/// The timeout for opening a control connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A transport that receives items of type `In` and sends items of type `Out`.
pub type ControlTransport<In, Out> = Transport<MeteredStream, In, Out, PostcardCodec>;

/// Connects to the control address of a process.
///
/// # Errors
///
/// Returns an error if the connection is not established within one second.
pub async fn connect_control<Req, Resp>(
    address: SocketAddr,
    meter: ControlMeter,
) -> io::Result<ControlTransport<Response<Resp>, ClientMessage<Req>>>
where
    Req: Serialize,
    Resp: for<'de> Deserialize<'de>,
{
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(new_transport(stream, meter))
}

/// Serves control RPC on `listener` until it fails. Must be called within a [`tokio::task::LocalSet`], because the
/// handlers are spawned on the current thread.
///
/// # Errors
///
/// Returns the error of the listener if it fails.
pub async fn serve_control<S>(
    listener: TcpListener,
    meter: ControlMeter,
    server: S,
) -> io::Result<()>
where
    S: Serve + Clone + 'static,
    S::Req: RequestName + for<'de> Deserialize<'de> + 'static,
    S::Resp: Serialize + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let transport: ControlTransport<ClientMessage<S::Req>, Response<S::Resp>> =
            new_transport(stream, meter.clone());
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.clone());
        tokio::task::spawn_local(requests.for_each(|request| async move {
            tokio::task::spawn_local(request);
        }));
    }
}

/// Creates a call context whose deadline is `timeout` from now.
pub fn rpc_context(timeout: SpanMillis) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from(timeout);
    context
}

fn new_transport<In, Out>(stream: TcpStream, meter: ControlMeter) -> ControlTransport<In, Out>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let stream = MeteredStream { stream, meter };
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    serde_transport::new(framed, PostcardCodec)
}

/// A codec that encodes and decodes control messages as postcard.
#[derive(Clone, Copy, Debug, Default)]
pub struct PostcardCodec;

impl<T: Serialize> Serializer<T> for PostcardCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        codec::encode(item)
            .map(Bytes::from)
            .map_err(io::Error::other)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<T> for PostcardCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> Result<T, io::Error> {
        codec::decode(bytes).map_err(io::Error::other)
    }
}

/// A TCP stream that counts all sent and received bytes.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: ControlMeter,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.meter.add(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = result {
            self.meter.add(written);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
