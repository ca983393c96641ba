use std::collections::BTreeMap;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::Result;
use crate::attainment_bench::{AttainmentLine, AttainmentReport};
use crate::engine_trouble::EngineTrouble;
use crate::report_folder::{ReportFolder, failed};

const SIZE: (u32, u32) = (800, 480);
const COLORS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];

type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

/// Writes attainment over load, and cost by stage, as SVG.
pub(crate) fn write(report: &AttainmentReport, folder: &ReportFolder) -> Result<()> {
    if let Some(path) = folder.file("attainment.svg") {
        let area = SVGBackend::new(&path, SIZE).into_drawing_area();
        draw_attainment(report, &area).map_err(|error| failed(&path, &error))?;
    }
    if let Some(path) = folder.file("cost.svg") {
        let area = SVGBackend::new(&path, SIZE).into_drawing_area();
        draw_cost(report, &area).map_err(|error| failed(&path, &error))?;
    }
    Ok(())
}

/// Lines without a fault by routing, in order of load.
fn by_routing(report: &AttainmentReport) -> BTreeMap<&str, Vec<&AttainmentLine>> {
    let mut groups: BTreeMap<&str, Vec<&AttainmentLine>> = BTreeMap::new();
    let calm = report.lines.iter();
    for line in calm.filter(|line| line.trouble == EngineTrouble::None) {
        groups.entry(&line.routing).or_default().push(line);
    }
    for lines in groups.values_mut() {
        lines.sort_by_key(|line| line.load);
    }
    groups
}

fn draw_attainment(report: &AttainmentReport, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Drawn {
    area.fill(&WHITE)?;
    let highest = report.lines.iter().map(|line| line.load).max();
    let highest = highest.unwrap_or(100) + 10;
    let mut chart = ChartBuilder::on(area)
        .caption("Answered whole and in time", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..highest, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("load, % of capacity")
        .y_desc("attainment, %")
        .draw()?;
    for ((routing, lines), color) in by_routing(report).into_iter().zip(COLORS) {
        let points: Vec<(u32, f64)> = lines
            .iter()
            .map(|line| (line.load, line.report.attainment))
            .collect();
        chart
            .draw_series(LineSeries::new(points, &color).point_size(3))?
            .label(routing)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Endpoint milliseconds for each answer in time, by stage, for each line.
fn draw_cost(report: &AttainmentReport, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Drawn {
    area.fill(&WHITE)?;
    let costs: Vec<BTreeMap<&str, f64>> = report.lines.iter().map(cost_by_stage).collect();
    let highest = costs.iter().map(|stages| stages.values().sum::<f64>());
    let highest = highest.fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption("Cost by stage of each request", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..costs.len() as f64, 0.0..highest)?;
    let name = |position: &f64| {
        let line = report.lines.get(*position as usize);
        line.map_or(String::new(), |line| {
            format!("{} {}%", &line.routing[..3], line.load)
        })
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(costs.len())
        .x_label_formatter(&name)
        .y_desc("endpoint ms")
        .draw()?;
    let mut bases = vec![0.0; costs.len()];
    let stages = ["encode", "retrieve", "rerank", "lookup", "generate"];
    for (stage, color) in stages.into_iter().zip(COLORS) {
        let mut bars = Vec::new();
        for (index, (cost, base)) in costs.iter().zip(&mut bases).enumerate() {
            let top = *base + cost.get(stage).copied().unwrap_or_default();
            let (left, right) = (index as f64 + 0.15, index as f64 + 0.85);
            bars.push(Rectangle::new(
                [(left, *base), (right, top)],
                color.filled(),
            ));
            *base = top;
        }
        chart
            .draw_series(bars)?
            .label(stage)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn cost_by_stage(line: &AttainmentLine) -> BTreeMap<&str, f64> {
    let requests = line.report.requests.max(1) as f64;
    let stages = line.report.stage_seconds.iter();
    stages
        .map(|(stage, seconds)| (stage.as_str(), seconds * 1_000.0 / requests))
        .collect()
}
