//! Writes figures as text, Markdown and JSON.

use std::collections::BTreeMap;

use comfy_table::{Table, presets::NOTHING};

use crate::{
    error::Error,
    measure::{ExportPath, Figures},
    operator::show,
};

/// Files to which figures are written in addition to the terminal.
pub(crate) struct Export {
    pub(crate) json: ExportPath,
    pub(crate) markdown: ExportPath,
}

impl Export {
    /// Writes the figures to the requested files.
    pub(crate) fn write(&self, figures: &Figures) -> Result<(), Error> {
        write(&self.json, || figures.json())?;
        write(&self.markdown, || figures.markdown())
    }
}

fn write(output: &ExportPath, text: impl FnOnce() -> String) -> Result<(), Error> {
    let Some(path) = output else { return Ok(()) };
    let step = || format!("write {}", path.display());
    std::fs::write(path, text()).map_err(|error| Error::system(step(), error))
}

impl Figures {
    /// Formats the figures for a terminal.
    pub(crate) fn text(&self) -> String {
        let mut table = Table::new();
        table.load_style(NOTHING);
        table.set_header(&self.heading);
        self.rows.iter().for_each(|row| {
            table.add_row(row);
        });
        let mut lines = vec![self.title.clone(), table.trim_fmt()];
        lines.extend(self.notes.iter().cloned());
        lines.join("\n")
    }

    fn markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let heading: Vec<String> = self.heading.iter().map(|cell| (*cell).to_owned()).collect();
        let mut text = format!("## {}\n\n{}", self.title, line(&heading));
        text += &line(&vec!["---".to_owned(); heading.len()]);
        self.rows.iter().for_each(|row| text += &line(row));
        self.notes.iter().for_each(|note| text += &format!("\n{note}\n"));
        text
    }

    fn json(&self) -> String {
        let rows: Vec<BTreeMap<&str, &String>> =
            self.rows.iter().map(|row| self.heading.iter().copied().zip(row).collect()).collect();
        show::json(&serde_json::json!({
            "title": self.title,
            "rows": rows,
            "notes": self.notes,
        }))
    }
}
