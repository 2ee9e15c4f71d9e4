//! Prints JSON, and colour where it is wanted.

use std::io::{IsTerminal, Write};

use serde::Serialize;

/// Prints `value` as one line of JSON.
pub fn json(value: &impl Serialize) {
    let line = serde_json::to_string(value).unwrap_or_else(|error| format!("\"{error}\""));
    text(&format!("{line}\n"));
}

/// Prints `text`. Nothing is left to report to when standard output is closed.
pub fn text(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Colours of the terminal.
#[derive(Clone, Copy, Debug)]
pub enum Colour {
    /// New or well.
    Green,
    /// Gone or wrong.
    Red,
    /// On its way.
    Yellow,
}

/// Wraps words in colours, or leaves them plain.
#[derive(Clone, Copy, Debug)]
pub struct Painter {
    coloured: bool,
}

impl Painter {
    /// Colours for standard output, unless it is no terminal or `NO_COLOR` is set.
    pub fn stdout() -> Self {
        let refused = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        Self {
            coloured: std::io::stdout().is_terminal() && !refused,
        }
    }

    /// No colours.
    pub fn plain() -> Self {
        Self { coloured: false }
    }

    /// `words` in `colour`.
    pub fn paint(self, colour: Colour, words: &str) -> String {
        if !self.coloured {
            return words.to_owned();
        }
        let code = match colour {
            Colour::Green => 32,
            Colour::Red => 31,
            Colour::Yellow => 33,
        };
        format!("\u{1b}[{code}m{words}\u{1b}[0m")
    }
}
