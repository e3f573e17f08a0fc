/// Reading fields of JSON objects that others have sent, which may lack any of them.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Vanillaridge {

/// The object that the text is; nothing when it is malformed or something else.
std::optional<boost::json::object> parseObject(std::string_view text);
/// The text of a field; nothing when it is missing, empty, or of another type.
std::optional<std::string> textIn(const boost::json::object&, std::string_view name);
/// The whole number of a field; nothing when it is missing, negative, or of another type.
std::optional<uint64_t> wholeNumberIn(const boost::json::object&, std::string_view name);

} // namespace Vanillaridge
