#include "jsonfields/JsonFields.h"

namespace Vanillaridge {

namespace json = boost::json;

std::optional<json::object> parseObject(std::string_view text)
{
    json::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

std::optional<std::string> textIn(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value || !value->is_string() || value->get_string().empty())
        return std::nullopt;
    return std::string(value->get_string());
}

std::optional<uint64_t> wholeNumberIn(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value || !value->is_number())
        return std::nullopt;
    json::error_code error;
    const auto number = value->to_number<int64_t>(error);
    if (error || number < 0)
        return std::nullopt;
    return static_cast<uint64_t>(number);
}

} // namespace Vanillaridge
