//! Text tables with aligned columns.

/// Separator of the columns.
const GAP: &str = "  ";

/// Rows of cells under a row of headings.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table that has only its heading.
    pub(crate) fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no row below its heading.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() < 2
    }

    /// Returns the table as lines; numbers are aligned right, all other cells left.
    pub(crate) fn lines(&self) -> Vec<String> {
        let columns_count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns_count).map(|at| self.width(at)).collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }

    fn width(&self, at: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(at));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| match cell.parse::<f64>() {
            Ok(_) => format!("{cell:>width$}"),
            Err(_) => format!("{cell:<width$}"),
        })
        .collect();
    cells.join(GAP).trim_end().to_owned()
}
