//! Prints tables as aligned text.

/// A table whose columns are as wide as their longest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading, which is printed in capitals.
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|h| h.to_uppercase()).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: &[&dyn std::fmt::Display]) {
        self.rows
            .push(cells.iter().map(|c| c.to_string()).collect());
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column| {
            let cells = self.rows.iter().filter_map(|r: &Vec<String>| r.get(column));
            cells.map(|c: &String| c.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
