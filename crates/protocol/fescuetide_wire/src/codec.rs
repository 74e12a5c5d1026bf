//! The postcard codec of frames and control RPC.

use serde::Deserialize;
use serde::Serialize;

/// Why bytes could not be encoded or decoded.
pub type CodecError = postcard::Error;

/// Encodes a value.
///
/// # Errors
///
/// Fails when the type has parts that postcard cannot express, such as sequences of unknown length.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value)
}

/// Decodes a value.
///
/// # Errors
///
/// Fails when the bytes are not an encoding of `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes)
}
