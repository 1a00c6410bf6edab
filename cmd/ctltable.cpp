// Converts all cells to text first, so that each column is as wide as its widest cell.
// Trailing spaces are removed from each line.

#include "cmd/ctltable.h"

#include <algorithm>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace figrack::cmd {
namespace {

namespace json = boost::json;

struct Cell
{
    std::string text;
    bool isNumber = false;
};

auto cellOf(const json::object &row, std::string_view field) -> Cell
{
    const auto *value = row.if_contains(json::string_view { field.data(), field.size() });
    if (value == nullptr || value->is_null())
        return { "-", false };
    if (value->is_bool())
        return { value->get_bool() ? "yes" : "no", false };
    if (value->is_number())
        return { json::serialize(*value), true };
    if (!value->is_string())
        return { json::serialize(*value), false };
    const auto &text = value->get_string();
    return { text.empty() ? "-" : std::string { text }, false };
}

auto padded(const Cell &cell, std::size_t width) -> std::string
{
    return cell.isNumber ? fmt::format("{:>{}}", cell.text, width)
                         : fmt::format("{:<{}}", cell.text, width);
}

auto lineOf(const std::vector<Cell> &cells, const std::vector<std::size_t> &widths) -> std::string
{
    auto line = std::string {};
    for (auto i = std::size_t { 0 }; i < cells.size(); ++i) {
        line += i == 0 ? "" : "  ";
        line += padded(cells[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

} // namespace

auto renderTable(const std::vector<Column> &columns, const json::array &rows) -> std::string
{
    auto lines = std::vector<std::vector<Cell>> { {} };
    for (const auto &column : columns)
        lines[0].push_back({ std::string { column.title }, false });
    for (const auto &row : rows) {
        const auto *object = row.if_object();
        auto &line = lines.emplace_back();
        for (const auto &column : columns)
            line.push_back(object != nullptr ? cellOf(*object, column.field) : Cell { "-" });
    }
    auto widths = std::vector<std::size_t>(columns.size(), 0);
    for (const auto &line : lines) {
        for (auto i = std::size_t { 0 }; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].text.size());
    }
    auto text = std::string {};
    for (const auto &line : lines)
        text += lineOf(line, widths);
    return text;
}

} // namespace figrack::cmd
