//! Finds the positions of fields in a settings text.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A line and column in a text, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

/// Positions of all fields of a text, in text order.
#[derive(Debug, Default)]
pub(crate) struct FieldMap(Vec<Field>);

#[derive(Debug)]
struct Field {
    path: String,
    position: Position,
}

impl FieldMap {
    /// Collects the positions; the map is empty if the text is not valid YAML.
    pub(crate) fn read(text: &str) -> Self {
        let mut map = Self::default();
        if let Ok(root) = serde_saphyr::from_str::<YamlNode>(text) {
            map.add("", &root);
        }
        map
    }

    /// Returns the position of a field, or of the nearest enclosing section.
    pub(crate) fn position(&self, path: &str) -> Option<Position> {
        let mut path = path;
        loop {
            if let Some(field) = self.0.iter().find(|field| field.path == path) {
                return Some(field.position);
            }
            path = path.get(..path.rfind(['.', '['])?)?;
        }
    }

    fn add(&mut self, prefix: &str, node: &YamlNode) {
        match node {
            YamlNode::Leaf => {}
            YamlNode::Map(entries) => {
                for (key, value) in entries {
                    let path = join(prefix, &key.value);
                    self.add_field(&path, key.referenced, value);
                }
            }
            YamlNode::List(items) => {
                for (index, item) in items.iter().enumerate() {
                    self.add_field(&format!("{prefix}[{index}]"), item.referenced, item);
                }
            }
        }
    }

    fn add_field(
        &mut self,
        path: &str,
        position: serde_saphyr::Location,
        value: &Spanned<YamlNode>,
    ) {
        self.0.push(Field {
            path: path.to_owned(),
            position: Position::from(position),
        });
        self.add(path, &value.value);
    }
}

fn join(prefix: &str, key: &str) -> String {
    if prefix.is_empty() {
        key.to_owned()
    } else {
        format!("{prefix}.{key}")
    }
}

impl From<serde_saphyr::Location> for Position {
    fn from(location: serde_saphyr::Location) -> Self {
        Self {
            line: location.line(),
            column: location.column(),
        }
    }
}

/// A YAML value, reduced to its structure and positions.
#[derive(Debug)]
enum YamlNode {
    Leaf,
    Map(Vec<(Spanned<String>, Spanned<Self>)>),
    List(Vec<Spanned<Self>>),
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(YamlVisitor)
    }
}

struct YamlVisitor;

macro_rules! visit_scalars {
    ($($visit:ident($kind:ty);)+) => {$(
        fn $visit<E>(self, _value: $kind) -> Result<YamlNode, E> {
            Ok(YamlNode::Leaf)
        }
    )+};
}

impl<'de> Visitor<'de> for YamlVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    visit_scalars! {
        visit_bool(bool);
        visit_i64(i64);
        visit_u64(u64);
        visit_i128(i128);
        visit_u128(u128);
        visit_f64(f64);
        visit_str(&str);
        visit_bytes(&[u8]);
    }

    fn visit_unit<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf)
    }

    fn visit_none<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Leaf)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlNode, D::Error> {
        YamlNode::deserialize(deserializer)
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(self, inner: D) -> Result<YamlNode, D::Error> {
        IgnoredAny::deserialize(inner).map(|_| YamlNode::Leaf)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<YamlNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(YamlNode::Map(entries))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<YamlNode, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(YamlNode::List(items))
    }
}
