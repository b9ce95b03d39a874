//! Line charts over time, drawn as SVG.

use plotters::{
    coord::{Shift, types::RangedCoordf64},
    drawing::DrawingAreaErrorKind,
    prelude::{
        BLACK, Cartesian2d, ChartBuilder, ChartContext, DrawingArea, IntoDrawingArea, LineSeries,
        PathElement, RGBColor, SVGBackend, SeriesLabelPosition, WHITE,
    },
    style::{Color, TextStyle},
};

/// The colours of the lines, in order of use.
pub const COLOURS: [RGBColor; 10] = [
    RGBColor(0x1f, 0x77, 0xb4),
    RGBColor(0xd6, 0x27, 0x28),
    RGBColor(0x2c, 0xa0, 0x2c),
    RGBColor(0xff, 0x7f, 0x0e),
    RGBColor(0x94, 0x67, 0xbd),
    RGBColor(0x8c, 0x56, 0x4b),
    RGBColor(0xe3, 0x77, 0xc2),
    RGBColor(0x7f, 0x7f, 0x7f),
    RGBColor(0xbc, 0xbd, 0x22),
    RGBColor(0x17, 0xbe, 0xcf),
];
const MARK_COLOUR: RGBColor = RGBColor(0x66, 0x66, 0x66);
const CHART_SIZE_PX: (u32, u32) = (880, 340);
const CAPTION_PX: i32 = 15;

/// The drawing area of an SVG.
pub type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// A chart with two numeric axes.
pub type SvgPlane<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
/// An error of the drawing library.
pub type DrawError = DrawingAreaErrorKind<std::io::Error>;

/// One line of a chart.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ChartLine {
    /// The name of the line in the legend.
    pub name: String,
    /// The points as time in seconds and value, ordered by time.
    pub points: Vec<(f64, f64)>,
}

/// A line chart over the time of a load run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LineChart {
    /// The caption.
    pub title: String,
    /// The unit of the values, shown at the axis.
    pub unit: String,
    /// The end of the time axis, in seconds.
    pub end_s: f64,
    /// The lines of the chart.
    pub lines: Vec<ChartLine>,
    /// Times marked by vertical lines, in seconds.
    pub marks_s: Vec<f64>,
}

impl LineChart {
    /// Draws the chart and returns it as SVG.
    pub fn to_svg(&self) -> String {
        draw_svg(CHART_SIZE_PX, |area| self.draw(area))
    }

    fn draw(&self, area: &SvgArea<'_>) -> Result<(), DrawError> {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let most = points.map(|(_, value)| *value).fold(0.0, f64::max);
        let top = if most > 0.0 { most * 1.05 } else { 1.0 };
        let mut plane = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", CAPTION_PX))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..self.end_s.max(1.0), 0.0..top)?;
        let mut mesh = plane.configure_mesh();
        mesh.max_light_lines(0).x_desc("s").y_desc(&self.unit);
        let digits = usize::from(top < 20.0);
        let label = |value: &f64| format!("{value:.digits$}");
        mesh.y_label_formatter(&label);
        mesh.draw()?;
        draw_marks(&mut plane, &self.marks_s, top)?;
        for (line, colour) in self.lines.iter().zip(COLOURS.iter().cycle()) {
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            let key = |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2));
            plane.draw_series(series)?.label(&line.name).legend(key);
        }
        let mut legend = plane.configure_series_labels();
        legend.position(SeriesLabelPosition::UpperLeft);
        legend
            .background_style(WHITE.mix(0.7))
            .border_style(BLACK.mix(0.2));
        legend.draw()
    }
}

/// Draws a vertical line from zero to `top` at each time.
///
/// # Errors
///
/// Fails if the drawing library does.
pub fn draw_marks(
    plane: &mut SvgPlane<'_, '_>,
    times_s: &[f64],
    top: f64,
) -> Result<(), DrawError> {
    let mark = |time_s: &f64| PathElement::new([(*time_s, 0.0), (*time_s, top)], MARK_COLOUR);
    plane.draw_series(times_s.iter().map(mark))?;
    Ok(())
}

/// Returns the style of small labels.
pub fn label_style(size_px: i32) -> TextStyle<'static> {
    TextStyle::from(("sans-serif", size_px))
}

/// Draws on a white area of a size and returns it as SVG.
///
/// # Panics
///
/// Panics if `draw` fails. Writing the SVG itself cannot fail, as it goes to memory.
pub fn draw_svg(
    size_px: (u32, u32),
    draw: impl FnOnce(&SvgArea<'_>) -> Result<(), DrawError>,
) -> String {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, size_px).into_drawing_area();
    let drawn = area.fill(&WHITE).and_then(|()| draw(&area));
    drawn
        .and_then(|()| area.present())
        .expect("memory can be written to");
    drop(area);
    svg
}
