//! A small JSON reader, and base64.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Self {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':') {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Json {
    skip(chars, at);
    match chars.get(*at) {
        Some('{') => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(chars, at);
                match chars.get(*at) {
                    Some('"') => {
                        let name = string(chars, at);
                        map.insert(name, value(chars, at));
                    }
                    _ => break,
                }
            }
            *at += 1;
            Json::Map(map)
        }
        Some('[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                if chars.get(*at).is_none_or(|c| *c == ']') {
                    break;
                }
                list.push(value(chars, at));
            }
            *at += 1;
            Json::List(list)
        }
        Some('"') => Json::Text(string(chars, at)),
        Some(_) => {
            let mut word = String::new();
            while let Some(c) = chars.get(*at).filter(|c| c.is_alphanumeric() || "+-.".contains(**c)) {
                word.push(*c);
                *at += 1;
            }
            match word.as_str() {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                "" | "null" => {
                    *at += usize::from(word.is_empty());
                    Json::Null
                }
                number => number.parse().map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}

fn string(chars: &[char], at: &mut usize) -> String {
    let mut text = String::new();
    *at += 1;
    while let Some(c) = chars.get(*at) {
        *at += 1;
        match c {
            '"' => break,
            '\\' => {
                text.push(*chars.get(*at).unwrap_or(&'?'));
                *at += 1;
            }
            c => text.push(*c),
        }
    }
    text
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut bits = 0u32;
        for at in 0..3 {
            bits = bits << 8 | u32::from(*part.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            match at <= part.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
