//! Postcard encoding of frames and control RPC messages.

use serde::Deserialize;
use serde::Serialize;

/// The error of a failed encoding or decoding.
pub type CodecError = postcard::Error;

/// Encodes a value as postcard.
///
/// # Errors
///
/// Returns an error if postcard cannot represent the value, for example a sequence of unknown length.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_stdvec(value)
}

/// Decodes a value from postcard.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid encoding of `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, CodecError> {
    postcard::from_bytes(bytes)
}
