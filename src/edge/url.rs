//! The encoding of text that becomes a part of a URL.

use std::borrow;

// All but the characters that mean themselves everywhere in a URL (RFC 3986, "unreserved").
const ENCODED: &percent_encoding::AsciiSet = &percent_encoding::NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns the text as one value in a query, or as one segment of a path.
#[must_use]
pub fn encode(text: &str) -> borrow::Cow<'_, str> {
    percent_encoding::utf8_percent_encode(text, ENCODED).into()
}
