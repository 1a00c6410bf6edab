// Formats an array of JSON objects as a text table.
//
//   auto text = renderTable({ { "id", "MODEL" }, { "slots", "SLOTS" } }, array);

#ifndef FIGRACK_CMD_CTLTABLE_H
#define FIGRACK_CMD_CTLTABLE_H

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/fwd.hpp>

namespace figrack::cmd {

struct Column
{
    std::string_view field; ///< Name of the field in each row's object.
    std::string_view title; ///< Heading of the column.
};

/// @param rows an array of objects; a missing field is shown as "-"
/// @return a line of titles and one line for each row; numbers are right-aligned
auto renderTable(const std::vector<Column> &columns, const boost::json::array &rows) -> std::string;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTLTABLE_H
