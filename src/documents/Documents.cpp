#include "documents/Documents.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <set>

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace Vanillaridge {

struct Document::Parsed {
    std::string file;
    toml::table root;
    std::vector<Problem> problems;
};

struct TableReader::State {
    Document::Parsed* document;
    const toml::table* table;
    std::set<std::string, std::less<>> known;

    static std::shared_ptr<State> of(Document::Parsed* document, const toml::table* table)
    {
        return std::make_shared<State>(State { document, table, {} });
    }

    // The node of this name, which is known from now on.
    const toml::node* ask(std::string_view name)
    {
        known.emplace(name);
        return table->get(name);
    }
};

namespace {

    Place placeOf(const toml::source_region& region)
    {
        return { std::max<uint32_t>(region.begin.line, 1), std::max<uint32_t>(region.begin.column, 1) };
    }

    // What a node is called in a message.
    std::string_view kindOf(const toml::node& node)
    {
        constexpr std::array<std::string_view, 10> names { "nothing", "a table", "a list", "a text", "a whole number",
            "a number", "a truth value", "a date", "a time", "a date and time" };
        return names[static_cast<size_t>(node.type())];
    }

    // Writes a bound the way the document would.
    using BoundWriter = std::string (*)(double);
    std::string plainBound(double bound) { return fmt::format("{}", bound); }
    std::string timeBound(double bound)
    {
        return inQuotes(toText(Duration(static_cast<Duration::rep>(std::llround(bound * 1e9)))));
    }
    std::string sizeBound(double bound) { return inQuotes(sizeToText(static_cast<uint64_t>(bound))); }

    // Reports a value out of range; tells whether it was in range.
    bool checkRange(const TableReader& table, std::string_view name, Range range, double value, BoundWriter write)
    {
        if (range.contains(value))
            return true;
        table.report(table.place(name), fmt::format("\"{}\" is out of range", name),
            fmt::format("a value from {} to {}", write(range.least), write(range.most)));
        return false;
    }

    bool reportKind(const TableReader& table, std::string_view name, const toml::node& node, std::string expected)
    {
        table.report(table.place(name), fmt::format("\"{}\" is {}", name, kindOf(node)), std::move(expected));
        return false;
    }

    // An example of a value with a unit, using the number that stands there without one.
    std::string withUnit(const toml::node& node, std::string_view unit, std::string_view otherwise)
    {
        if (const auto number = node.value<int64_t>(); number && *number >= 0)
            return fmt::format("\"{}{}\"", *number, unit);
        return std::string(otherwise);
    }

} // namespace

TableReader::TableReader(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

bool TableReader::has(std::string_view name) const { return m_state->table->contains(name); }

Place TableReader::place(std::string_view name) const
{
    const auto* node = name.empty() ? nullptr : m_state->table->get(name);
    return placeOf(node ? node->source() : m_state->table->source());
}

Place TableReader::place(std::string_view name, size_t index) const
{
    const auto* node = m_state->table->get(name);
    const auto* list = node ? node->as_array() : nullptr;
    const auto* entry = list ? list->get(index) : nullptr;
    return entry ? placeOf(entry->source()) : place(name);
}

void TableReader::report(Place place, std::string what, std::string writeInstead) const
{
    m_state->document->problems.push_back(
        { m_state->document->file, place.line, place.column, std::move(what), std::move(writeInstead) });
}

bool TableReader::take(std::string_view name, Range, bool& target)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    if (!node->is_boolean())
        return reportKind(*this, name, *node, "true or false");
    target = *node->value<bool>();
    return true;
}

bool TableReader::take(std::string_view name, Range range, double& target)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    if (!node->is_number())
        return reportKind(*this, name, *node, "a number without quotes");
    const auto value = *node->value<double>();
    if (!checkRange(*this, name, range, value, plainBound))
        return false;
    target = value;
    return true;
}

bool TableReader::take(std::string_view name, Range range, uint32_t& target)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    if (!node->is_integer())
        return reportKind(*this, name, *node, "a whole number without quotes");
    const auto value = *node->value<int64_t>();
    if (!checkRange(*this, name, range, static_cast<double>(value), plainBound))
        return false;
    target = static_cast<uint32_t>(value);
    return true;
}

bool TableReader::take(std::string_view name, Range range, uint64_t& bytes)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    const auto text = node->value_exact<std::string_view>();
    const auto value = text ? sizeFromText(*text) : std::nullopt;
    if (!value) {
        report(place(name), fmt::format("\"{}\" needs a size with its unit", name),
            withUnit(*node, "B", "a size in B, KiB, MiB or GiB, such as \"8MiB\""));
        return false;
    }
    if (!checkRange(*this, name, range, static_cast<double>(*value), sizeBound))
        return false;
    bytes = *value;
    return true;
}

bool TableReader::take(std::string_view name, Range range, Duration& target)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    const auto text = node->value_exact<std::string_view>();
    const auto value = text ? durationFromText(*text) : std::nullopt;
    if (!value) {
        report(place(name), fmt::format("\"{}\" needs a duration with its unit", name),
            withUnit(*node, "s", "a duration in ns, us, ms, s, m or h, such as \"250ms\""));
        return false;
    }
    if (!checkRange(*this, name, range, std::chrono::duration<double>(*value).count(), timeBound))
        return false;
    target = *value;
    return true;
}

bool TableReader::take(std::string_view name, Range range, std::string& target)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    if (!node->is_string())
        return reportKind(*this, name, *node, "a text in quotes");
    const auto value = *node->value<std::string>();
    if (!range.contains(static_cast<double>(value.size()))) {
        report(place(name), fmt::format("\"{}\" has {} characters", name, value.size()),
            fmt::format("{} to {} characters", range.least, range.most));
        return false;
    }
    target = value;
    return true;
}

bool TableReader::take(std::string_view name, Range range, std::vector<std::string>& target)
{
    // 1. A list of a fitting length.
    const auto* node = m_state->ask(name);
    if (!node)
        return false;
    const auto* list = node->as_array();
    if (!list)
        return reportKind(*this, name, *node, "a list of texts in square brackets");
    if (!range.contains(static_cast<double>(list->size()))) {
        report(place(name), fmt::format("\"{}\" has {} entries", name, list->size()),
            fmt::format("{} to {} entries", range.least, range.most));
        return false;
    }

    // 2. All of its entries are texts.
    std::vector<std::string> entries;
    for (size_t i = 0; i < list->size(); ++i) {
        const auto entry = (*list)[i].value_exact<std::string>();
        if (!entry) {
            report(place(name, i), fmt::format("entry {} of \"{}\" is {}", i + 1, name, kindOf((*list)[i])),
                "a text in quotes");
            return false;
        }
        entries.push_back(*entry);
    }
    target = std::move(entries);
    return true;
}

std::optional<TableReader> TableReader::table(std::string_view name)
{
    const auto* node = m_state->ask(name);
    if (!node)
        return std::nullopt;
    if (!node->is_table()) {
        reportKind(*this, name, *node, fmt::format("a table that begins with [{}]", name));
        return std::nullopt;
    }
    return TableReader(State::of(m_state->document, node->as_table()));
}

std::vector<std::pair<std::string, TableReader>> TableReader::namedTables(std::string_view name)
{
    std::vector<std::pair<std::string, TableReader>> tables;
    const auto outer = table(name);
    if (!outer)
        return tables;
    for (const auto& [key, node] : *outer->m_state->table) {
        const std::string own(key.str());
        if (const auto* inner = node.as_table())
            tables.emplace_back(own, TableReader(State::of(m_state->document, inner)));
        else
            reportKind(*outer, own, node, fmt::format("a table that begins with [{}.NAME]", name));
    }
    return tables;
}

void TableReader::reportUnknown()
{
    const std::vector<std::string> known(m_state->known.begin(), m_state->known.end());
    for (const auto& [key, node] : *m_state->table) {
        const std::string name(key.str());
        if (m_state->known.contains(name))
            continue;
        const auto nearest = nearestName(name, known);
        std::string all;
        for (const auto& candidate : known)
            all.append(all.empty() ? "one of " : ", ").append(candidate);
        report(placeOf(key.source()), fmt::format("unknown name \"{}\"", name), nearest ? *nearest : all);
    }
}

Document::Document(std::string_view text, std::string_view fileName)
    : m_parsed(std::make_unique<Parsed>(Parsed { std::string(fileName), {}, {} }))
{
    auto result = toml::parse(text, fileName);
    if (result) {
        m_parsed->root = std::move(result).table();
        return;
    }
    const auto place = placeOf(result.error().source());
    m_parsed->problems.push_back(
        { m_parsed->file, place.line, place.column, std::string(result.error().description()), "valid TOML" });
}

Document::~Document() = default;

TableReader Document::root() const { return TableReader(TableReader::State::of(m_parsed.get(), &m_parsed->root)); }

std::vector<Problem> Document::problems() const
{
    auto sorted = m_parsed->problems;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Problem& left, const Problem& right) {
        return std::pair(left.line, left.column) < std::pair(right.line, right.column);
    });
    return sorted;
}

} // namespace Vanillaridge
