//! Newtypes for identifiers: names, numbers and random ids.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of an identifier, in bytes.
const NAME_MAX_BYTES: usize = 128;
/// Maximum length of a label, in bytes.
const LABEL_MAX_BYTES: usize = 1_024;

/// Error for a string that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ParseIdError {
    /// The string is empty.
    #[error("an identifier must not be empty")]
    Empty,
    /// The string is longer than 128 bytes.
    #[error("an identifier has at most {NAME_MAX_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// Length of the rejected string.
        len_bytes: usize,
    },
    /// The string is a label longer than 1,024 bytes.
    #[error("a label has at most {LABEL_MAX_BYTES} bytes, this one has {len_bytes}")]
    LabelTooLong {
        /// Length of the rejected string.
        len_bytes: usize,
    },
    /// A label contains a control character, or begins or ends with white space.
    #[error("a label holds no control characters, and no white space at its ends")]
    Label,
    /// The string contains a character other than letters, digits and `-_.:`.
    #[error("an identifier holds letters, digits and -_.: only, not {found:?}")]
    Character {
        /// The first rejected character.
        found: char,
    },
    /// A numeric identifier is not a number in the expected format.
    #[error("identifier is not a number in the expected format")]
    Number,
    /// A generation identifier does not have exactly three parts.
    #[error("generation identifier is not of the form ENDPOINT~BOOT~NUMBER")]
    Parts,
}

/// Checks that a string is a plain identifier: 1 to 128 bytes of letters, digits and
/// `-_.:`.
///
/// # Errors
/// Returns the first violation.
pub fn check_name(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(ParseIdError::TooLong {
            len_bytes: text.len(),
        });
    }
    match text
        .chars()
        .find(|c| !(c.is_alphanumeric() || "-_.:".contains(*c)))
    {
        Some(found) => Err(ParseIdError::Character { found }),
        None => Ok(()),
    }
}

/// Checks that a string is a label: 1 to 1,024 bytes that an HTTP header can hold as they
/// are.
fn check_label(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > LABEL_MAX_BYTES {
        return Err(ParseIdError::LabelTooLong {
            len_bytes: text.len(),
        });
    }
    if text.trim() != text || text.chars().any(char::is_control) {
        return Err(ParseIdError::Label);
    }
    Ok(())
}

macro_rules! text_id {
    ($check:ident: $($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({})"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )+};
}

text_id! { check_name:
    /// An adapter loaded on top of a model.
    AdapterId;
    /// An entry: a process that receives callers' requests.
    EntryId;
    /// A host.
    HostId;
    /// A model that endpoints serve.
    ModelId;
    /// A preset in the configuration.
    PresetName;
    /// A process of the system: an entry or an endpoint's agent.
    ProcessId;
    /// A region, which contains availability zones.
    RegionId;
    /// A version of a model's weights.
    VersionId;
}

// Names that operators and the platform choose freely.
text_id! { check_label:
    /// An endpoint: a model engine or a replica of a plain service.
    EndpointId;
    /// An organisation that sends requests.
    OrganisationId;
    /// A service that endpoints provide to callers.
    ServiceName;
    /// An availability zone.
    ZoneId;
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Creates an identifier from its number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The identifier's number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The next identifier in sequence.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::Number)
            }
        }
    )+};
}

number_id! {
    /// One incarnation of a process; each restart gets a larger number.
    BootId;
    /// The version of a configuration, starting at 1; 0 means "none yet".
    ConfigVersion;
    /// A fencing token for orders: an endpoint rejects orders with a smaller number
    /// than it has already seen.
    FenceNumber;
    /// The position of a record in a stream of the platform's log.
    Offset;
    /// Counts how often the platform's store has come back from an older copy.
    StoreEra;
    /// The zero-based position of a token in its generation.
    TokenIndex;
}

macro_rules! random_id {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(u128);

        impl $name {
            /// Creates an identifier from a random number.
            #[must_use]
            pub const fn new(number: u128) -> Self {
                Self(number)
            }

            /// The identifier's number.
            #[must_use]
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if text.len() != 32 {
                    return Err(ParseIdError::Number);
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseIdError::Number)
            }
        }
    )+};
}

random_id! {
    /// One attempt to run a request at one agent; unique across the fleet.
    AttemptId;
    /// A record of the platform's log. The writer chooses it and repeats it when
    /// it retries an append, so that readers can drop duplicates.
    RecordId;
}

/// Identifies a generation by its endpoint, its agent's boot and a counter.
///
/// Any entry can find the executing agent from the identifier alone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    /// The endpoint that runs the generation.
    pub endpoint: EndpointId,
    /// The boot of the agent that started it.
    pub boot: BootId,
    /// Number of the generation within that boot.
    pub number: u64,
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}~{:x}", self.endpoint, self.boot.0, self.number)
    }
}

impl FromStr for GenerationId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The name of an endpoint may contain the separator.
        let mut parts = text.rsplitn(3, '~');
        let (Some(number), Some(boot), Some(endpoint)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseIdError::Parts);
        };
        let hex = |part| u64::from_str_radix(part, 16).map_err(|_| ParseIdError::Number);
        Ok(Self {
            endpoint: endpoint.parse()?,
            boot: BootId(hex(boot)?),
            number: hex(number)?,
        })
    }
}

/// An idempotency key, which is unique within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The organisation that sent the key.
    pub organisation: OrganisationId,
    /// The key as sent by the caller.
    pub text: Arc<str>,
}

impl RequestKey {
    /// Creates a key from the string sent by the caller.
    ///
    /// # Errors
    /// Fails if the string is empty, is longer than 128 bytes or contains
    /// control characters.
    pub fn new(organisation: OrganisationId, text: &str) -> Result<Self, ParseIdError> {
        if text.is_empty() {
            return Err(ParseIdError::Empty);
        }
        if text.len() > NAME_MAX_BYTES {
            return Err(ParseIdError::TooLong {
                len_bytes: text.len(),
            });
        }
        if let Some(found) = text.chars().find(|c| c.is_control()) {
            return Err(ParseIdError::Character { found });
        }
        Ok(Self {
            organisation,
            text: Arc::from(text),
        })
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.text)
    }
}

/// Identifies a part of a prompt that several requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(u128);

impl PromptPartId {
    /// Creates an id from its number.
    #[must_use]
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// The id as a number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Error for a string that is not the id of a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the id of a part of a prompt is 1 to 32 hexadecimal digits")]
pub struct ParsePromptPartIdError;

impl FromStr for PromptPartId {
    type Err = ParsePromptPartIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParsePromptPartIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParsePromptPartIdError)
    }
}

/// A digest of a request, used to detect identical requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the digest of method, path and body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&u64::try_from(part.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(part);
        }
        let mut head = [0; 16];
        hasher.finalize_xof().fill(&mut head);
        Self(u128::from_le_bytes(head))
    }

    /// Creates a fingerprint from a digest received from another process.
    #[must_use]
    pub const fn new(digest: u128) -> Self {
        Self(digest)
    }

    /// The digest as a number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
