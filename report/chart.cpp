// Each chart is laid out in the units of its own SVG view box and scales with the page width.

#include "report/chart.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace figrack::report {
namespace {

constexpr auto labelWidth = 190.0;
constexpr auto plotWidth = 320.0;
constexpr auto noteWidth = 250.0;
constexpr auto rowHeight = 24.0;
constexpr auto seriesCount = std::size_t { 5 };
constexpr auto maxLabel = std::size_t { 26 };

auto shortLabel(const std::string &label) -> std::string
{
    if (label.size() <= maxLabel)
        return escapeHtml(label);
    return escapeHtml(label.substr(0, maxLabel - 1)) + "&#8230;";
}

/// Opens a chart that scrolls horizontally on a narrow page, where its labels would otherwise
/// become too small to read.
auto openWide(double height, std::string_view name) -> std::string
{
    return fmt::format("<div class=\"scroll\"><svg class=\"wide\" viewBox=\"0 0 {:.0f} {:.0f}\" "
                       "role=\"img\" aria-label=\"{}\">",
                       labelWidth + plotWidth + noteWidth, height, name);
}

auto openSvg(double width, double height, std::string_view name) -> std::string
{
    return fmt::format("<svg viewBox=\"0 0 {:.0f} {:.0f}\" role=\"img\" aria-label=\"{}\">", width,
                       height, escapeHtml(name));
}

auto legend(const std::vector<std::string> &series) -> std::string
{
    if (series.empty())
        return {};
    auto html = std::string { "<p class=\"legend\">" };
    for (auto i = std::size_t { 0 }; i < std::min(series.size(), seriesCount); ++i)
        html += fmt::format("<span><i style=\"background:var(--series-{})\"></i>{}</span>", i + 1,
                            escapeHtml(series[i]));
    return html + "</p>";
}

auto text(double x, double y, std::string_view style, const std::string &content) -> std::string
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" class=\"{}\">{}</text>", x, y, style,
                       content);
}

auto number(double value) -> std::string
{
    if (value >= 100)
        return fmt::format("{:.0f}", value);
    return fmt::format("{:.3g}", value);
}

auto sumOf(const Bar &bar) -> double
{
    auto sum = 0.0;
    for (const auto part : bar.parts)
        sum += part;
    return sum;
}

/// @return the x position of a duration on a logarithmic scale from 10 ms to 1000 s
auto logPosition(double seconds) -> double
{
    constexpr auto decades = 5.0;
    const auto exponent = std::log10(std::clamp(seconds, 0.01, 1000.0)) + 2;
    return labelWidth + exponent / decades * (plotWidth + noteWidth - 20);
}

auto secondsName(double seconds) -> std::string
{
    return seconds < 1 ? fmt::format("{:.0f} ms", seconds * 1000) : fmt::format("{:g} s", seconds);
}

} // namespace

auto escapeHtml(std::string_view text) -> std::string
{
    auto escaped = std::string {};
    for (const auto character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        case '\'':
            escaped += "&#39;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

auto barChart(const std::vector<Bar> &bars, std::string_view unit,
              const std::vector<std::string> &series) -> std::string
{
    if (bars.empty())
        return "<p class=\"muted\">none in this window</p>";
    auto most = 0.0;
    for (const auto &bar : bars)
        most = std::max(most, sumOf(bar));
    const auto height = rowHeight * static_cast<double>(bars.size()) + 4;
    auto svg = legend(series) + openWide(height, "bars");
    for (auto i = std::size_t { 0 }; i < bars.size(); ++i) {
        const auto top = rowHeight * static_cast<double>(i) + 4;
        svg += text(labelWidth - 8, top + 13, "label", shortLabel(bars[i].label));
        auto x = labelWidth;
        for (auto part = std::size_t { 0 }; part < bars[i].parts.size(); ++part) {
            const auto width = most > 0 ? bars[i].parts[part] / most * plotWidth : 0;
            if (width > 0)
                svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"16\" "
                                   "rx=\"2\" fill=\"var(--series-{})\"/>",
                                   x, top, std::max(width - 1, 0.5), part % seriesCount + 1);
            x += width;
        }
        const auto note = bars[i].note.empty() ? "" : " \xC2\xB7 " + escapeHtml(bars[i].note);
        svg += text(x + 6, top + 13, "value",
                    fmt::format("{} {}{}", number(sumOf(bars[i])), escapeHtml(unit), note));
    }
    return svg + "</svg></div>";
}

auto rangeChart(const std::vector<Range> &ranges) -> std::string
{
    const auto height = rowHeight * static_cast<double>(ranges.size()) + 28;
    auto svg = openWide(height, "ranges");
    for (const auto mark : { 0.01, 0.1, 1.0, 10.0, 100.0, 1000.0 }) {
        const auto x = logPosition(mark);
        svg += fmt::format("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"0\" y2=\"{1:.1f}\" "
                           "stroke=\"var(--grid)\"/>",
                           x, height - 20);
        svg += text(x, height - 6, "tick", secondsName(mark));
    }
    for (auto i = std::size_t { 0 }; i < ranges.size(); ++i) {
        const auto &range = ranges[i];
        const auto y = rowHeight * static_cast<double>(i) + 12;
        svg += text(labelWidth - 8, y + 4, "label", shortLabel(range.label));
        if (range.goal > 0)
            svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"3\" height=\"18\" "
                               "fill=\"var(--bad)\"><title>target {}</title></rect>",
                               logPosition(range.goal) - 1.5, y - 9, secondsName(range.goal));
        if (range.high <= 0)
            continue;
        svg += fmt::format("<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{:.1f}\" y2=\"{:.1f}\" "
                           "stroke=\"var(--series-1)\" stroke-width=\"4\" "
                           "stroke-linecap=\"round\"/>",
                           logPosition(range.low), logPosition(range.high), y, y);
        for (const auto value : { range.low, range.middle, range.high })
            svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"5\" fill=\"var(--page)\" "
                               "stroke=\"var(--series-1)\" stroke-width=\"2\">"
                               "<title>{:.3f} s</title></circle>",
                               logPosition(value), y, value);
    }
    return svg + "</svg></div>";
}

auto lineChart(const std::vector<Line> &lines, double threshold, std::string_view left)
        -> std::string
{
    constexpr auto leftEdge = 46.0;
    constexpr auto rightEdge = 440.0;
    constexpr auto topEdge = 8.0;
    constexpr auto bottomEdge = 130.0;
    auto most = threshold > 0 ? 1.5 * threshold : 1.0;
    for (const auto &line : lines) {
        for (const auto &point : line.points)
            most = std::max(most, point.y);
    }
    const auto xOf = [&](double x) { return leftEdge + x * (rightEdge - leftEdge); };
    const auto yOf = [&](double y) { return bottomEdge - y / most * (bottomEdge - topEdge); };
    auto svg = openSvg(rightEdge + 10, bottomEdge + 22, "lines");
    const auto across = [&](double y, std::string_view colour, std::string_view dash) {
        svg += fmt::format("<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{:.1f}\" y2=\"{:.1f}\" "
                           "stroke=\"var({})\" stroke-dasharray=\"{}\"/>",
                           leftEdge, rightEdge, yOf(y), yOf(y), colour, dash);
        svg += text(leftEdge - 6, yOf(y) + 4, "label", number(y));
    };
    across(0, "--grid", "none");
    across(most, "--grid", "none");
    if (threshold > 0)
        across(threshold, "--bad", "4 3");
    svg += text(leftEdge, bottomEdge + 16, "value", escapeHtml(left));
    svg += text(rightEdge, bottomEdge + 16, "label", "now");
    for (auto i = std::size_t { 0 }; i < lines.size(); ++i) {
        const auto colour = i % seriesCount + 1;
        auto path = std::string {};
        for (const auto &point : lines[i].points)
            path += fmt::format("{:.1f},{:.1f} ", xOf(point.x), yOf(point.y));
        svg += fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"var(--series-{})\" "
                           "stroke-width=\"2\"/>",
                           path, colour);
        for (const auto &point : lines[i].points)
            svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"2.5\" "
                               "fill=\"var(--series-{})\"><title>{}: {:.2f}</title></circle>",
                               xOf(point.x), yOf(point.y), colour, escapeHtml(lines[i].name),
                               point.y);
    }
    auto names = std::vector<std::string> {};
    for (const auto &line : lines)
        names.push_back(line.name);
    return legend(names) + svg + "</svg>";
}

} // namespace figrack::report
