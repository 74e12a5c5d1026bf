//! SVG plots of reuse, skew and worth over time.

use std::path::Path;

use plotters::prelude::*;

use crate::measure::RunMetrics;
use crate::runner::RunRecord;

/// Size of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);

/// Upper end of the skew axis; higher values are clipped.
const SKEW_LIMIT: f64 = 4.0;

/// Samples averaged into one point of the skew plot, which is one second of samples.
const SKEW_POINT_SAMPLES: usize = 10;

struct PlotLine {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Writes `reuse.svg`, which shows the cache reuse in each second of churn.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot_reuse(folder: &Path, runs: &[RunMetrics]) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for run in runs {
        let mut points = Vec::new();
        for (second, tally) in run.reuse.seconds.iter().enumerate() {
            if tally.ideal > 0 {
                points.push((second as f64, tally.ratio()));
            }
        }
        lines.push(PlotLine {
            label: run.label.clone(),
            points,
        });
    }
    draw(
        &folder.join("reuse.svg"),
        ("Cache reuse through churn", "served ÷ possible", 1.05),
        &lines,
    )
}

/// Writes `skew-NAME.svg`, which shows maximum load ÷ mean load, averaged over each second.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot_skew(folder: &Path, name: &str, runs: &[RunRecord]) -> anyhow::Result<()> {
    let mut lines = Vec::new();
    for run in runs {
        let mut points = Vec::new();
        for chunk in run.samples.chunks(SKEW_POINT_SAMPLES) {
            let mut sum = 0.0;
            let mut count = 0.0;
            for sample in chunk {
                if sample.mean() > 0.0 {
                    sum += f64::from(sample.max_load()) / sample.mean();
                    count += 1.0;
                }
            }
            let Some(at_ms) = chunk[0].at_ms.checked_sub(run.started_ms) else {
                continue;
            };
            if count > 0.0 {
                points.push((at_ms as f64 / 1_000.0, (sum / count).min(SKEW_LIMIT)));
            }
        }
        lines.push(PlotLine {
            label: run.label.clone(),
            points,
        });
    }
    let title = format!("Skew through {name}");
    draw(
        &folder.join(format!("skew-{name}.svg")),
        (&title, "highest load ÷ mean", SKEW_LIMIT),
        &lines,
    )
}

/// Writes `worth.svg`, which shows the worth in each window of the given days. Each day is a label with its points.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot_worth(folder: &Path, days: Vec<(String, Vec<(f64, f64)>)>) -> anyhow::Result<()> {
    let lines: Vec<PlotLine> = days
        .into_iter()
        .map(|(label, points)| PlotLine { label, points })
        .collect();
    let axis = ("Worth over the day", "earned ÷ owed", 1.05);
    draw(&folder.join("worth.svg"), axis, &lines)
}

fn draw(
    path: &Path,
    (title, value, height): (&str, &str, f64),
    lines: &[PlotLine],
) -> anyhow::Result<()> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder)?;
    }
    let mut width = 1.0_f64;
    for line in lines {
        for (second, _) in &line.points {
            width = width.max(*second);
        }
    }
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(value)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(&line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
