//! Encoding of message fields, one [`Field`] implementation per type.
//!
//! Enums travel as numbers, durations as microseconds, headers as pairs of byte strings. Lists
//! from a peer are limited in length.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeSeq, Serializer};

use crate::call::claim::{ClaimAction, ClaimStatus};
use crate::call::{Loss, Reason};
use crate::gate::LoadReport;
use crate::plan::Version;

/// Maximum number of header fields in a message.
const MAX_HEADERS: usize = 256;
/// Maximum number of names in a list, such as the regions of a call.
const MAX_NAMES: usize = 64;

/// Wrapper that serialises a field.
pub struct WriteField<'a, T>(pub &'a T);

/// Wrapper that deserialises a field.
pub struct ReadField<T>(pub T);

/// Type of a message field.
pub trait Field: Sized {
    /// Serialises the value.
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error>;

    /// Deserialises a value.
    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error>;
}

impl<T: Field> Serialize for WriteField<'_, T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.write(serializer)
    }
}

impl<'de, T: Field> Deserialize<'de> for ReadField<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        T::read(deserializer).map(ReadField)
    }
}

/// Implements [`Field`] for types whose own serde format is used.
macro_rules! serde_fields {
    ($($field:ty),+) => {
        $(
            impl Field for $field {
                fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                    self.serialize(serializer)
                }

                fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                    Self::deserialize(deserializer)
                }
            }
        )+
    };
}

serde_fields!(u64, u32, bool, String);

impl Field for Version {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self)
    }
}

impl Field for Bytes {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        <&[u8]>::deserialize(deserializer).map(Self::copy_from_slice)
    }
}

impl Field for Duration {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(micros(*self))
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self::from_micros)
    }
}

impl Field for Method {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let name = <&str>::deserialize(deserializer)?;
        Self::from_bytes(name.as_bytes()).map_err(de::Error::custom)
    }
}

impl Field for StatusCode {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.as_u16())
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_u16(number).map_err(de::Error::custom)
    }
}

impl Field for Option<Reason> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(self.map_or(0, |reason| reason as u8))
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(Reason::from_number)
    }
}

impl Field for Option<Loss> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(self.map_or(0, |loss| loss as u8))
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(|number| Some(Loss::from_number(number)))
    }
}

impl Field for ClaimAction {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*self as u8)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(Self::from_number)
    }
}

impl Field for ClaimStatus {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*self as u8)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(Self::from_number)
    }
}

/// A list of numbers only, so that a receiver can skip numbers added by later versions.
impl Field for LoadReport {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut numbers = serializer.serialize_seq(Some(6))?;
        numbers.serialize_element(&u64::from(self.in_hand))?;
        numbers.serialize_element(&u64::from(self.queued))?;
        numbers.serialize_element(&u64::from(self.limit))?;
        numbers.serialize_element(&micros(self.service_time))?;
        numbers.serialize_element(&u64::from(self.accepting))?;
        numbers.serialize_element(&micros(self.delay))?;
        numbers.end()
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(LoadVisitor)
    }
}

struct LoadVisitor;

impl<'de> Visitor<'de> for LoadVisitor {
    type Value = LoadReport;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the numbers of a load report")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut numbers: A) -> Result<LoadReport, A::Error> {
        let mut load = LoadReport::default();
        let mut position = 0;
        while let Some(number) = numbers.next_element::<u64>()? {
            let clamped = u32::try_from(number).unwrap_or(u32::MAX);
            match position {
                0 => load.in_hand = clamped,
                1 => load.queued = clamped,
                2 => load.limit = clamped,
                3 => load.service_time = Duration::from_micros(number),
                4 => load.accepting = number != 0,
                5 => load.delay = Duration::from_micros(number),
                _ => {}
            }
            position += 1;
        }
        Ok(load)
    }
}

impl Field for Vec<String> {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.serialize(serializer)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(NamesVisitor)
    }
}

struct NamesVisitor;

impl<'de> Visitor<'de> for NamesVisitor {
    type Value = Vec<String>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_NAMES} names")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut names: A) -> Result<Vec<String>, A::Error> {
        let mut list = Vec::new();
        while let Some(name) = names.next_element()? {
            if list.len() == MAX_NAMES {
                return Err(de::Error::invalid_length(MAX_NAMES + 1, &self));
            }
            list.push(name);
        }
        Ok(list)
    }
}

impl Field for HeaderMap {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.len()))?;
        for (name, value) in self {
            list.serialize_element(&(name.as_str(), ByteString(value.as_bytes())))?;
        }
        list.end()
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(HeadersVisitor)
    }
}

/// Byte string for header values, which need not be UTF-8.
struct ByteString<'a>(&'a [u8]);

impl Serialize for ByteString<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

struct HeadersVisitor;

impl<'de> Visitor<'de> for HeadersVisitor {
    type Value = HeaderMap;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_HEADERS} header fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<HeaderMap, A::Error> {
        let expected = fields.size_hint().unwrap_or(0).min(MAX_HEADERS);
        let mut headers = HeaderMap::with_capacity(expected);
        while let Some((name, value)) = fields.next_element::<(&[u8], &[u8])>()? {
            if headers.len() == MAX_HEADERS {
                return Err(de::Error::invalid_length(MAX_HEADERS + 1, &self));
            }
            let name = HeaderName::from_bytes(name).map_err(de::Error::custom)?;
            let value = HeaderValue::from_bytes(value).map_err(de::Error::custom)?;
            headers.append(name, value);
        }
        Ok(headers)
    }
}

/// Microseconds of a duration, saturating.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
