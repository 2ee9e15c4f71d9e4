//! How the fields of messages are written and read.

use std::fmt;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeSeq, Serializer};

use crate::call::claim::{Intent, Verdict};
use crate::call::{Loss, Reason};
use crate::gate::LoadReport;
use crate::plan::Version;

/// Most header fields that one message may hold.
const MAX_HEADERS: usize = 256;
/// Most names that one list may hold.
const MAX_NAMES: usize = 64;

/// A field on its way out.
pub struct WriteField<'a, T>(pub &'a T);

/// A field that was read.
pub struct ReadField<T>(pub T);

/// A type that a message can hold.
pub trait Field: Sized {
    /// Writes the value.
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error>;

    /// Reads a value.
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

/// Fields that serde reads and writes as they are.
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

impl Field for Intent {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*self as u8)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(Self::from_number)
    }
}

impl Field for Verdict {
    fn write<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*self as u8)
    }

    fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u8::deserialize(deserializer).map(Self::from_number)
    }
}

/// Numbers only, so that numbers added later can be skipped.
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

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
