//! Validated names, UUID-based ids and counters that identify parts of the system.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::ClockMillis;

/// The maximum length of a name in bytes.
pub const NAME_LIMIT_BYTES: usize = 128;

/// The reason why a string is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The string is empty.
    Empty,
    /// The string is longer than [`NAME_LIMIT_BYTES`].
    TooLong,
    /// The string contains a character other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    InvalidCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "name is empty"),
            Self::TooLong => write!(f, "name is longer than {NAME_LIMIT_BYTES} bytes"),
            Self::InvalidCharacter(character) => write!(
                f,
                "name has the character {character:?}; allowed are ASCII letters, digits, '-', '_', '.' and ':'"
            ),
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > NAME_LIMIT_BYTES {
        return Err(NameError::TooLong);
    }
    for character in text.chars() {
        if character.is_ascii_alphanumeric() || "-_.:".contains(character) {
            continue;
        }
        return Err(NameError::InvalidCharacter(character));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

name_type! {
    /// The name of a workspace: the tenant that a request belongs to.
    WorkspaceName
}
name_type! {
    /// The name of a multi-turn chat, unique within its workspace.
    ChatName
}
name_type! {
    /// The name of a request class, which defines the service-level targets of its requests.
    ClassName
}
name_type! {
    /// The name of a pool of upstreams that serve the same requests.
    PoolName
}
name_type! {
    /// The name of a model.
    ModelName
}
name_type! {
    /// The name of a VM.
    VmName
}
name_type! {
    /// The name of an availability zone.
    ZoneName
}
name_type! {
    /// The name of a region. Requests are never routed to another region.
    RegionName
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Uuid);

        impl $name {
            /// Generates a new UUIDv7.
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }

            /// Creates an id from the 128-bit value of a UUID.
            pub const fn from_u128(value: u128) -> Self {
                Self(Uuid::from_u128(value))
            }

            /// Returns the id as a UUID.
            pub const fn as_uuid(self) -> Uuid {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, uuid::Error> {
                Uuid::parse_str(text).map(Self)
            }
        }
    };
}

uuid_type! {
    /// The id of a caller's request, shared by all attempts at it.
    RequestId
}
uuid_type! {
    /// The id of one attempt at a request.
    AttemptId
}
uuid_type! {
    /// The id of a change to a class definition.
    ChangeId
}
uuid_type! {
    /// The id of a claim on an idempotency key.
    ClaimId
}
uuid_type! {
    /// The idempotency key of a non-repeatable request. It is a UUIDv7, so it contains its creation time.
    IdempotencyKey
}

/// The number of bits below the timestamp in a UUIDv7.
const TIMESTAMP_SHIFT_BITS: u32 = 80;

fn uuid_timestamp(id: Uuid) -> ClockMillis {
    ClockMillis::new((id.as_u128() >> TIMESTAMP_SHIFT_BITS) as u64)
}

impl IdempotencyKey {
    /// Returns the time at which the caller created the key (RFC 9562, section 5.7).
    pub fn created_at(self) -> ClockMillis {
        uuid_timestamp(self.0)
    }
}

impl ClaimId {
    /// Returns the time at which the router created the claim (RFC 9562, section 5.7).
    pub fn created_at(self) -> ClockMillis {
        uuid_timestamp(self.0)
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name($inner);

        impl $name {
            /// Wraps a number.
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the wrapped number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}
pub(crate) use number_type;

number_type! {
    /// Identifies one run of a process on a VM. The number increases with each restart.
    ProcessIncarnation, u64
}
number_type! {
    /// The position of a record in a stream of the log service, starting at 0.
    LogOffset, u64
}
number_type! {
    /// The era of a log service. It rises each time the service comes back from an older copy, and loses what it acknowledged
    /// since that copy was taken.
    LogEra, u64
}
number_type! {
    /// The version of a class definition. The first definition has version 1; 0 means that the class does not exist.
    ClassVersion, u64
}
