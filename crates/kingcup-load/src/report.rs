//! Draws bar charts of results by policy and scenario, as an SVG image or an HTML page.

use std::{fs, path::Path};

use anyhow::{Context, ensure};
use plotters::prelude::*;
use serde_json::Value;

/// The size of one chart, in pixels.
const CHART: (u32, u32) = (460, 240);
/// Charts per row.
const COLUMNS: usize = 2;
/// The height of the legend, in pixels.
const LEGEND: u32 = 28;

/// The charts: the result's field and the title, which says which direction is better.
const METRICS: [(&str, &str); 6] = [
    ("fairness_gap", "fairness gap (cost / share), less is better"),
    ("utilisation", "utilisation while requests waited, more is better"),
    ("first_token_ms_p95", "first token p95 (ms), less is better"),
    ("control_bytes_per_s_max", "control traffic of the busiest instance (bytes/s)"),
    ("control_cpu_percent_max", "control-plane CPU of the busiest instance (% of a core)"),
    ("falls", "engine crashes"),
];
/// The policies with their colours.
const POLICIES: [(&str, RGBColor); 2] =
    [("pooled", RGBColor(31, 119, 180)), ("static", RGBColor(255, 127, 14))];

/// Reads result files with one JSON object per line and writes the image or page.
pub(crate) fn exec(results: &[std::path::PathBuf], out: &Path) -> anyhow::Result<bool> {
    let mut rows = Vec::new();
    for path in results {
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            rows.push(serde_json::from_str(line).with_context(|| path.display().to_string())?);
        }
    }
    ensure!(!rows.is_empty(), "the files contain no result");
    let image = draw(&rows)?;
    let is_page = out.extension().is_some_and(|extension| extension == "html");
    let text = if is_page { page(&image, &rows) } else { image };
    fs::write(out, text).with_context(|| out.display().to_string())?;
    Ok(true)
}

fn scenarios(rows: &[Value]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for name in rows.iter().filter_map(|row| row["scenario"].as_str()) {
        if !names.iter().any(|known| known == name) {
            names.push(name.to_owned());
        }
    }
    names
}

fn value(rows: &[Value], scenario: &str, policy: &str, field: &str) -> Option<f64> {
    let row = rows.iter().find(|row| row["scenario"] == scenario && row["policy"] == policy)?;
    row[field].as_f64()
}

fn draw(rows: &[Value]) -> anyhow::Result<String> {
    let mut image = String::new();
    let chart_rows = METRICS.len().div_ceil(COLUMNS);
    let size = (CHART.0 * COLUMNS as u32, CHART.1 * chart_rows as u32 + LEGEND);
    {
        let area = SVGBackend::with_string(&mut image, size).into_drawing_area();
        area.fill(&WHITE)?;
        let (legend, charts) = area.split_vertically(LEGEND);
        draw_legend(&legend)?;
        for (chart, (field, title)) in
            charts.split_evenly((chart_rows, COLUMNS)).iter().zip(METRICS)
        {
            draw_chart(chart, rows, field, title)?;
        }
        area.present()?;
    }
    Ok(image)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_legend(area: &Area<'_>) -> anyhow::Result<()> {
    for (n, (policy, colour)) in POLICIES.iter().enumerate() {
        let left = 20 + 110 * n as i32;
        area.draw(&Rectangle::new([(left, 9), (left + 12, 21)], colour.filled()))?;
        area.draw(&Text::new(*policy, (left + 18, 8), ("sans-serif", 15)))?;
    }
    Ok(())
}

fn draw_chart(area: &Area<'_>, rows: &[Value], field: &str, title: &str) -> anyhow::Result<()> {
    let scenarios = scenarios(rows);
    let values = scenarios.iter().flat_map(|scenario| {
        POLICIES.iter().filter_map(|(policy, _)| value(rows, scenario, policy, field))
    });
    let max = values.fold(0.0, f64::max);
    // If all values are zero, the axis still needs a range.
    let top = if max > 0.0 { max * 1.15 } else { 1.0 };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..top)?;
    let name = |x: &f64| scenarios.get(*x as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_labels(5)
        .label_style(("sans-serif", 11))
        .draw()?;
    for (n, scenario) in scenarios.iter().enumerate() {
        for (m, (policy, colour)) in POLICIES.iter().enumerate() {
            let Some(value) = value(rows, scenario, policy, field) else { continue };
            let left = n as f64 + 0.12 + 0.38 * m as f64;
            let bar = Rectangle::new([(left, 0.0), (left + 0.36, value)], colour.filled());
            chart.draw_series([bar])?;
        }
        let (x, y) = chart.backend_coord(&(n as f64 + 0.15, 0.0));
        let (left, upper) = area.get_base_pixel();
        let position = (x - left, y - upper + 6);
        area.draw(&Text::new(name(&(n as f64)), position, ("sans-serif", 10)))?;
    }
    Ok(())
}

fn page(image: &str, rows: &[Value]) -> String {
    let fields = [
        "scenario",
        "policy",
        "requests",
        "completed",
        "refused_not_run",
        "unknown",
        "duplicate_runs",
        "false_not_run",
        "crossed_answers",
        "truncated_answers",
        "fairness_gap",
        "fairness_bound",
        "utilisation",
        "first_token_ms_p95",
        "takeout_s",
        "config_in_force_s",
        "order_s",
        "falls",
    ];
    let head: String = fields.iter().map(|field| format!("<th>{field}</th>")).collect();
    let body = rows.iter().map(|row| {
        let cells: String =
            fields.iter().map(|field| format!("<td>{}</td>", cell(&row[*field]))).collect();
        format!("<tr>{cells}</tr>\n")
    });
    let body: String = body.collect();
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>kingcupgrade results</title>\n\
         <style>body{{font-family:sans-serif}}td,th{{padding:2px 8px;text-align:right}}</style>\n\
         <h1>Results by scenario and policy</h1>\n{image}\n<table><tr>{head}</tr>\n{body}</table>\n"
    )
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "not measured".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => format!("{float:.2}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}
