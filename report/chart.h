// Renders charts as inline SVG for a self-contained HTML page.
//
//   html += barChart(bars, "hours");
//
// Colours refer to the page's CSS variables --series-1 to --series-5, --ink, --muted, --grid
// and --bad, so that the charts follow the page's light and dark scheme. The functions
// escape all text that they insert.

#ifndef FIGRACK_REPORT_CHART_H
#define FIGRACK_REPORT_CHART_H

#include <string>
#include <string_view>
#include <vector>

namespace figrack::report {

/// @return the text with the characters that are special in HTML replaced by entities
auto escapeHtml(std::string_view text) -> std::string;

/// One bar of a stacked bar chart.
struct Bar
{
    std::string label;
    std::vector<double> parts; ///< Values of series 1 to 5.
    std::string note;          ///< Shown after the value.
};
/// @param bars from top to bottom
/// @param unit shown after each value
/// @param series names of the parts for the legend; no legend is drawn if empty
auto barChart(const std::vector<Bar> &bars, std::string_view unit,
              const std::vector<std::string> &series) -> std::string;

/// A range with three marks on a logarithmic scale, and the target to compare it with.
struct Range
{
    std::string label;
    double low = 0;
    double middle = 0;
    double high = 0;
    double goal = 0; ///< 0 if there is no target.
};
/// @param ranges from top to bottom; values are in seconds
auto rangeChart(const std::vector<Range> &ranges) -> std::string;

struct LinePoint
{
    double x = 0; ///< From 0 (left edge) to 1 (right edge).
    double y = 0;
};
struct Line
{
    std::string name;
    std::vector<LinePoint> points;
};
/// @param lines series 1 to 5, in this order
/// @param threshold value of a horizontal line; 0 for none
/// @param left label of x = 0
auto lineChart(const std::vector<Line> &lines, double threshold, std::string_view left)
        -> std::string;

} // namespace figrack::report

#endif // FIGRACK_REPORT_CHART_H
