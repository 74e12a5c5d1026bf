//! Listing of the newest record of each key of a log stream, page by page.

use fescuetide_base::LogOffset;

use crate::codec::FleetStream;
use crate::codec::LogRecord;
use crate::codec::RecordCodec;
use crate::log_client::CallError;

/// The newest record of each key of a log stream.
pub(crate) struct LogListing {
    pub(crate) records: Vec<LogRecord>,
    /// The end offset of the stream in the first page. Later pages may lack what was appended since then.
    pub(crate) end: LogOffset,
}

impl LogListing {
    /// Lists a stream. `call` calls the log with a target and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Fails if a call fails or a page cannot be decoded.
    pub(crate) fn read<C: RecordCodec>(
        codec: &C,
        stream: FleetStream,
        mut call: impl FnMut(&str) -> Result<Vec<u8>, CallError>,
    ) -> Result<Self, CallError> {
        let mut records: Vec<LogRecord> = Vec::new();
        let mut end = None;
        loop {
            let after = records.last().map(|record| record.key.as_str());
            let body = call(&codec.listing_target(stream, after))?;
            let page = codec.decode_listing(&body);
            let page = page.map_err(CallError::Undecodable)?;
            let end = *end.get_or_insert(page.end);
            let is_last = !page.has_more || page.records.is_empty();
            records.extend(page.records);
            if is_last {
                return Ok(Self { records, end });
            }
        }
    }
}
