// Plots as inline SVG, for a page that needs nothing from elsewhere.
//
//   html += barChart(bars, "hours");
//
// Colours are the page's CSS variables --series-1 to --series-5, --ink, --muted, --grid and
// --bad, so that the plots follow the page's light and dark scheme. Text is escaped.

#ifndef FIGRACK_REPORT_CHART_H
#define FIGRACK_REPORT_CHART_H

#include <string>
#include <string_view>
#include <vector>

namespace figrack::report {

/// @return the text with the characters that mean something in HTML replaced
auto escapeHtml(std::string_view text) -> std::string;

/// One bar of parts that follow one another.
struct Bar
{
    std::string label;
    std::vector<double> parts; ///< Series 1 to 5.
    std::string note;          ///< After the value.
};
/// @param bars from top to bottom
/// @param unit after each value
/// @param series names of the parts, for the legend; empty for none
auto barChart(const std::vector<Bar> &bars, std::string_view unit,
              const std::vector<std::string> &series) -> std::string;

/// A span with three marks on a logarithmic scale, and the goal it is held against.
struct Range
{
    std::string label;
    double low = 0;
    double middle = 0;
    double high = 0;
    double goal = 0; ///< 0: none.
};
/// Values are seconds.
auto rangeChart(const std::vector<Range> &ranges) -> std::string;

struct LinePoint
{
    double x = 0; ///< From 0, left, to 1, right.
    double y = 0;
};
struct Line
{
    std::string name;
    std::vector<LinePoint> points;
};
/// @param lines series 1 to 5
/// @param threshold drawn across; not drawn when 0
/// @param left the label of x = 0
auto lineChart(const std::vector<Line> &lines, double threshold, std::string_view left)
        -> std::string;

} // namespace figrack::report

#endif // FIGRACK_REPORT_CHART_H
