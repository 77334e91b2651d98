//! What a measurement prints.

use serde_json::{Map, Number, Value};
use std::fmt::Write;

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: f64,
    /// Its unit; empty for a plain count.
    pub unit: &'static str,
}

/// The figures of one measurement, in the order that they were added.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    figures: Vec<Figure>,
}

impl Report {
    /// Adds a figure.
    pub fn add(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure {
            name: name.into(),
            value,
            unit,
        });
    }

    /// Returns the figures as lines `name=value unit`.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for Figure { name, value, unit } in &self.figures {
            let line = format!("{name}={} {unit}", round(*value));
            // Writing to a string doesn't fail.
            let _ = writeln!(text, "{}", line.trim_end());
        }
        text
    }

    /// Returns the figures as one JSON object, `{"name": {"value", "unit"}}`.
    #[must_use]
    pub fn json(&self) -> String {
        let mut map = Map::new();
        for Figure { name, value, unit } in &self.figures {
            let value = Number::from_f64(round(*value)).map_or(Value::Null, Value::Number);
            map.insert(
                name.clone(),
                serde_json::json!({ "value": value, "unit": unit }),
            );
        }
        Value::Object(map).to_string()
    }
}

// Three digits after the point are as much as any figure here is worth.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
