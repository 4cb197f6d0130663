//! Finds keys in the text of a TOML file, so that errors name the key and its line.

use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The number of the line of a byte offset, from 1.
pub(super) fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// The text before the `=` on the line of a byte offset.
pub(super) fn key_on_line(text: &str, at: usize) -> String {
    let start = text[..at.min(text.len())].rfind('\n').map_or(0, |n| n + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_owned()
}

/// The dotted key of the innermost entry that contains a span.
pub(super) fn key_at(table: &DeTable, span: &Range<usize>) -> String {
    let inside = |outer: &Range<usize>| outer.start <= span.start && span.end <= outer.end;
    let mut found = String::new();
    for (key, value) in table.iter() {
        let below = key_within(value, span);
        if below.is_some() || inside(&key.span()) || inside(&value.span()) {
            found = key.get_ref().to_string();
            if let Some(below) = below.filter(|b| !b.is_empty()) {
                found = format!("{found}.{below}");
            }
        }
    }
    found
}

/// The dotted key within a value that contains a span, if one does.
fn key_within(value: &Spanned<DeValue>, span: &Range<usize>) -> Option<String> {
    match value.get_ref() {
        DeValue::Table(table) => Some(key_at(table, span)).filter(|k| !k.is_empty()),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(n, item)| {
            let below = key_within(item, span);
            let within = item.span().start <= span.start && span.end <= item.span().end;
            match below {
                Some(below) => Some(format!("{n}.{below}")),
                None => within.then(|| n.to_string()),
            }
        }),
        _ => None,
    }
}

/// The byte offset of the value of a dotted key, or of the nearest value that contains it.
pub(super) fn offset_of(table: &Spanned<DeTable>, key: &str) -> usize {
    let mut steps = key.split('.');
    let Some(mut value) = steps.next().and_then(|first| table.get_ref().get(first)) else { return 0 };
    for step in steps {
        let next = match value.get_ref() {
            DeValue::Table(table) => table.get(step),
            DeValue::Array(array) => step.parse::<usize>().ok().and_then(|n| array.get(n)),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.span().start
}
