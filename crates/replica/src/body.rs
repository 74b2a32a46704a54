//! Body of a request to [`api::path::REPLICATE`].

use std::fmt;

use serde::de::{Deserializer, SeqAccess, Visitor};
use serde::{Deserialize, Serialize, Serializer};

/// Largest body of a request in bytes, with its tag.
pub const MAX_BODY: usize = 8 << 20;

/// Bytes, encoded as one MessagePack binary instead of an array of numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Body(pub Vec<u8>);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_byte_buf(BodyVisitor)
    }
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Body, E> {
        Ok(Body(bytes.to_vec()))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Body, E> {
        Ok(Body(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Body, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(Body(bytes))
    }
}
