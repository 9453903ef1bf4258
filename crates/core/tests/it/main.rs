//! Integration tests of the shared types, one module per feature.

#![allow(clippy::unwrap_used)]

mod id_parsing;
