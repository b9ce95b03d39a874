//! Parses JSON and reports repeated fields, of which a plain parser keeps only the last.

use {
    serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor},
    serde_json::{Map, Number, Value},
    std::fmt,
};

/// Parses one JSON document and returns its value and the names of repeated fields.
///
/// # Errors
///
/// Fails when the text is not one valid JSON document.
pub(super) fn parse_strict(text: &[u8]) -> Result<(Value, Vec<String>), serde_json::Error> {
    let mut repeated = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let seed = StrictValue {
        repeated: &mut repeated,
    };
    let value = seed.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok((value, repeated))
}

/// Deserializes a JSON value and collects the names of repeated fields.
struct StrictValue<'a> {
    repeated: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for StrictValue<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for StrictValue<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        loop {
            let seed = StrictValue {
                repeated: self.repeated,
            };
            match seq.next_element_seed(seed)? {
                Some(value) => values.push(value),
                None => return Ok(Value::Array(values)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            let seed = StrictValue {
                repeated: self.repeated,
            };
            let value = entries.next_value_seed(seed)?;
            if map.insert(key.clone(), value).is_some() {
                self.repeated.push(key);
            }
        }
        Ok(Value::Object(map))
    }
}
