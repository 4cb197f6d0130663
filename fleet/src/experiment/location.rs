//! Maps byte offsets and spans of a TOML file to dotted keys and line numbers for errors.

use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The line number of a byte offset, starting at 1.
pub(super) fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// The text before the `=` on the line of a byte offset.
pub(super) fn key_on_line(text: &str, offset: usize) -> String {
    let line_start = text[..offset.min(text.len())].rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next().unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_owned()
}

/// The dotted key of the innermost entry that contains a span.
pub(super) fn key_at(table: &DeTable, span: &Range<usize>) -> String {
    let mut dotted_key = String::new();
    for (key, value) in table.iter() {
        let nested = key_within(value, span);
        if nested.is_some() || contains(&key.span(), span) || contains(&value.span(), span) {
            dotted_key = key.get_ref().to_string();
            if let Some(nested) = nested.filter(|nested| !nested.is_empty()) {
                dotted_key = format!("{dotted_key}.{nested}");
            }
        }
    }
    dotted_key
}

fn contains(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}

/// The dotted key, relative to a value, of the innermost entry that contains a span; `None` if no entry of
/// the value contains it.
fn key_within(value: &Spanned<DeValue>, span: &Range<usize>) -> Option<String> {
    match value.get_ref() {
        DeValue::Table(table) => Some(key_at(table, span)).filter(|key| !key.is_empty()),
        DeValue::Array(array) => {
            array.iter().enumerate().find_map(|(index, item)| match key_within(item, span) {
                Some(nested) => Some(format!("{index}.{nested}")),
                None => contains(&item.span(), span).then(|| index.to_string()),
            })
        }
        _ => None,
    }
}

/// The byte offset of the value of a dotted key, or of the innermost existing value on the path to it.
pub(super) fn offset_of(table: &Spanned<DeTable>, key: &str) -> usize {
    let mut segments = key.split('.');
    let Some(mut value) = segments.next().and_then(|first| table.get_ref().get(first)) else { return 0 };
    for segment in segments {
        let next = match value.get_ref() {
            DeValue::Table(table) => table.get(segment),
            DeValue::Array(array) => segment.parse::<usize>().ok().and_then(|index| array.get(index)),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.span().start
}
