/// Checked reading and canonical writing of TOML documents, shared by settings and manifests.
///
/// A document's tables are described by tables of fields: a name, the member that it fills, its range, and an example
/// of how to write it. Reading reports every problem with its place, never only the first. Durations and sizes carry
/// their unit ("250ms", "8MiB").
#pragma once

#include "core/Core.h"

#include <boost/leaf/result.hpp>
#include <variant>

namespace Vanillaridge {

// --- Problems -----------------------------------------------------------------------------------------------------

/// A place in a document, both numbers counted from 1.
struct Place {
    uint32_t line { 1 };
    uint32_t column { 1 };
    bool operator==(const Place&) const = default;
};

/// A fault in a document: where it is, what it is, and what to write instead.
struct Problem {
    std::string file;
    uint32_t line { 1 };
    uint32_t column { 1 };
    std::string what;
    /// May be empty where only the author can know.
    std::string writeInstead;
    bool operator==(const Problem&) const = default;
};

/// "file:line:column: what; write: instead".
std::string toText(const Problem&);

/// What a document says, or every problem found in it.
template <typename Value> class Checked {
public:
    Checked(Value value)
        : m_value(std::move(value))
    {
    }
    Checked(std::vector<Problem> problems)
        : m_problems(std::move(problems))
    {
    }

    explicit operator bool() const { return m_problems.empty(); }
    /// Only to be used when there are no problems.
    const Value& value() const { return *m_value; }
    /// Never empty when there is no value; in the order of their lines.
    std::span<const Problem> problems() const { return m_problems; }

private:
    std::optional<Value> m_value;
    std::vector<Problem> m_problems;
};

/// Why a file could not be read or written.
struct FileError {
    std::string file;
    std::string what;
};

/// Reads a whole file; a FileError when that fails or when it holds more than `limit` bytes.
boost::leaf::result<std::string> readFile(const std::string& path, size_t limit);

// --- Values with units --------------------------------------------------------------------------------------------

/// Reads "250ms", "1.5s", "10m": a number and one of ns, us, ms, s, m, h.
std::optional<Duration> durationFromText(std::string_view);
/// Writes a duration in the largest unit that keeps it a whole number.
std::string toText(Duration);
/// Reads "512B", "64KiB", "8MiB", "1GiB"; the result is in bytes.
std::optional<uint64_t> sizeFromText(std::string_view);
/// Writes a number of bytes in the largest unit that keeps it a whole number.
std::string sizeToText(uint64_t bytes);

/// The known name most like the given one; nothing when none is near.
std::optional<std::string> nearestName(std::string_view name, std::span<const std::string> known);

/// Least and greatest value allowed: seconds for durations, bytes for sizes, entries for lists, characters for texts.
struct Range {
    double least { 0 };
    double most { 0 };
    bool contains(double value) const { return value >= least && value <= most; }
};

// --- Reading ------------------------------------------------------------------------------------------------------

/// One table of a document. Whatever has not been asked for by the time of reportUnknown() is a problem.
class TableReader {
public:
    struct State;
    explicit TableReader(std::shared_ptr<State>);

    /// Whether the table has a value of this name.
    bool has(std::string_view name) const;
    /// Where the value of this name is, or the table itself when it has none.
    Place place(std::string_view name = {}) const;
    /// Where an entry of a list is, or the list when it is shorter.
    Place place(std::string_view name, size_t index) const;
    /// Adds a problem to the document's.
    void report(Place, std::string what, std::string writeInstead) const;

    /// Each reads a value into the target if it is there and right, reports a wrong one, and tells whether it was read.
    bool take(std::string_view name, Range, bool& target);
    bool take(std::string_view name, Range, double& target);
    bool take(std::string_view name, Range, uint32_t& target);
    bool take(std::string_view name, Range, uint64_t& bytes);
    bool take(std::string_view name, Range, Duration& target);
    bool take(std::string_view name, Range, std::string& target);
    bool take(std::string_view name, Range, std::vector<std::string>& target);

    /// The table of this name within this one, if there is one.
    std::optional<TableReader> table(std::string_view name);
    /// All tables within the table of this name, with their own names, in the order of these.
    std::vector<std::pair<std::string, TableReader>> namedTables(std::string_view name);
    /// Reports names that nobody asked for, each with the nearest known one.
    void reportUnknown();

private:
    std::shared_ptr<State> m_state;
};

/// A parsed document and the problems found in it so far.
class Document {
public:
    /// Parses the text; a syntax error becomes the first problem, and the document is then empty.
    Document(std::string_view text, std::string_view fileName);
    ~Document();

    TableReader root() const;
    /// All problems, in the order of their places.
    std::vector<Problem> problems() const;

    struct Parsed;

private:
    std::unique_ptr<Parsed> m_parsed;
};

// --- Fields -------------------------------------------------------------------------------------------------------

/// A field that is written as a text but kept as something else.
template <typename Row> struct ConvertedText {
    /// False when the text means nothing.
    bool (*read)(Row&, std::string_view text);
    std::string (*write)(const Row&);
    /// What may be written, for messages.
    std::string_view expected;
};

/// As ConvertedText, for a list; `read` adds one entry.
template <typename Row> struct ConvertedList {
    bool (*read)(Row&, std::string_view entry);
    std::vector<std::string> (*write)(const Row&);
    std::string_view expected;
};

template <typename Row>
using FieldMember = std::variant<bool Row::*, double Row::*, uint32_t Row::*, uint64_t Row::*, Duration Row::*,
    std::string Row::*, std::vector<std::string> Row::*, ConvertedText<Row>, ConvertedList<Row>>;

/// One row in the description of a table.
template <typename Row> struct Field {
    std::string_view name;
    FieldMember<Row> member;
    Range range;
    /// A line that could stand in the document.
    std::string_view example;
    bool required { false };
};

/// Reads all described fields of a table into a row, reports what is wrong or missing, and then unknown names.
template <typename Row> void readFields(TableReader& table, Row& row, std::span<const Field<Row>> fields)
{
    for (const auto& field : fields) {
        std::visit([&](const auto& member) { readField(table, row, field, member); }, field.member);
        if (field.required && !table.has(field.name))
            table.report(table.place(), "missing \"" + std::string(field.name) + '"', std::string(field.example));
    }
    table.reportUnknown();
}

template <typename Row, typename Value>
void readField(TableReader& table, Row& row, const Field<Row>& field, Value Row::*member)
{
    table.take(field.name, field.range, row.*member);
}

template <typename Row>
void readField(TableReader& table, Row& row, const Field<Row>& field, const ConvertedText<Row>& conversion)
{
    std::string text;
    if (table.take(field.name, field.range, text) && !conversion.read(row, text))
        table.report(table.place(field.name), '"' + text + "\" is no value of \"" + std::string(field.name) + '"',
            std::string(conversion.expected));
}

template <typename Row>
void readField(TableReader& table, Row& row, const Field<Row>& field, const ConvertedList<Row>& conversion)
{
    std::vector<std::string> entries;
    if (!table.take(field.name, field.range, entries))
        return;
    for (size_t i = 0; i < entries.size(); ++i) {
        if (!conversion.read(row, entries[i]))
            table.report(table.place(field.name, i),
                '"' + entries[i] + "\" is no entry of \"" + std::string(field.name) + '"',
                std::string(conversion.expected));
    }
}

// --- Writing ------------------------------------------------------------------------------------------------------

/// Text as a TOML string, with its quotes.
std::string inQuotes(std::string_view);
std::string tomlValue(bool);
std::string tomlValue(double);
std::string tomlValue(uint32_t);
std::string tomlValue(uint64_t bytes);
std::string tomlValue(Duration);
std::string tomlValue(const std::string&);
std::string tomlValue(const std::vector<std::string>&);

template <typename Row, typename Value> std::string fieldValue(const Row& row, Value Row::*const& member)
{
    return tomlValue(row.*member);
}

template <typename Row, template <typename> typename Conversion>
std::string fieldValue(const Row& row, const Conversion<Row>& conversion)
{
    return tomlValue(conversion.write(row));
}

/// Canonical text of a row: one line for each described field, in their order.
template <typename Row> std::string writeFields(const Row& row, std::span<const Field<Row>> fields)
{
    std::string text;
    for (const auto& field : fields) {
        const auto value = std::visit([&](const auto& member) { return fieldValue(row, member); }, field.member);
        text.append(field.name).append(" = ").append(value).append("\n");
    }
    return text;
}

} // namespace Vanillaridge
