// Rows of JSON objects as a table for people.
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
    std::string_view field; ///< Of each row's object.
    std::string_view title;
};

/// @param rows an array of objects; a missing field is shown as "-"
/// @return lines of columns with a line of titles; numbers stand to the right
auto renderTable(const std::vector<Column> &columns, const boost::json::array &rows) -> std::string;

} // namespace figrack::cmd

#endif // FIGRACK_CMD_CTLTABLE_H
