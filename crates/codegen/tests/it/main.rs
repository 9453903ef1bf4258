//! Tests of the repository's documentation.

#[cfg(test)]
mod doc_links;
