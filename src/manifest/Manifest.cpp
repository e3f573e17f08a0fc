#include "manifest/Checks.h"
#include "manifest/Fields.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Vanillaridge {

namespace {

    constexpr std::string_view accountKind = "account";
    constexpr std::string_view routeKind = "route";
    constexpr std::string_view serviceKind = "service";
    constexpr std::string_view policyKind = "policy";
    // Ends the name of a section whose name is taken.
    constexpr char repeatedName = '#';

    // The fields without the ranges that operators' manifests are held to.
    template <typename Row> std::vector<Field<Row>> withoutRanges(std::span<const Field<Row>> fields)
    {
        std::vector<Field<Row>> unbounded(fields.begin(), fields.end());
        for (auto& field : unbounded) {
            const bool isWord = std::holds_alternative<uint32_t Row::*>(field.member);
            field.range = { 0, isWord ? std::numeric_limits<uint32_t>::max() : std::numeric_limits<double>::max() };
        }
        return unbounded;
    }

    // Reads all tables of one kind, each under its own name.
    template <typename Row>
    std::vector<ReadRow<Row>> readRows(TableReader& root, std::string_view kind, std::span<const Field<Row>> fields)
    {
        std::vector<ReadRow<Row>> rows;
        for (auto& [name, table] : root.namedTables(kind)) {
            Row row;
            row.name = name;
            readFields(table, row, fields);
            rows.push_back({ std::move(row), std::move(table) });
        }
        return rows;
    }

    template <typename Row> std::vector<Row> rowsOf(std::vector<ReadRow<Row>>&& read)
    {
        std::vector<Row> rows;
        for (auto& entry : read)
            rows.push_back(std::move(entry.row));
        return rows;
    }

    ManifestSection makeSection(std::string name, std::string text)
    {
        const auto hash = stableHash(text);
        return { std::move(name), hash, std::move(text) };
    }

    template <typename Row>
    void addSections(std::vector<ManifestSection>& sections, std::string_view kind, const std::vector<Row>& rows,
        std::span<const Field<Row>> fields)
    {
        for (const auto& row : rows) {
            const std::string prefix(kind);
            sections.push_back(makeSection(
                prefix + '/' + row.name, '[' + prefix + '.' + inQuotes(row.name) + "]\n" + writeFields(row, fields)));
        }
    }

    // Reads the tables of one kind in a section, and adds their rows.
    template <typename Row>
    void addRows(std::vector<Row>& rows, TableReader& root, std::string_view kind, std::span<const Field<Row>> fields)
    {
        for (auto& row : rowsOf(readRows(root, kind, fields)))
            rows.push_back(std::move(row));
    }

    template <typename Row> void sortRows(std::vector<Row>& rows)
    {
        std::stable_sort(
            rows.begin(), rows.end(), [](const Row& left, const Row& right) { return left.name < right.name; });
    }

    // A route without accounts must not write an empty list, which the checks refuse.
    std::string withoutEmptyAccounts(std::string text)
    {
        constexpr std::string_view line = "accounts = []\n";
        if (const auto found = text.find(line); found != std::string::npos)
            text.erase(found, line.size());
        return text;
    }

} // namespace

ManifestResult checkManifest(std::string_view text, std::string_view fileName)
{
    // 1. Syntax. Without it, nothing further can be said.
    if (text.size() > manifestLimit)
        return std::vector<ManifestProblem> { { std::string(fileName), 1, 1,
            "the manifest is larger than " + sizeToText(manifestLimit), "fewer or shorter sections" } };
    Document document(text, fileName);
    if (auto problems = document.problems(); !problems.empty())
        return problems;

    // 2. Every field of every table.
    auto root = document.root();
    ReadManifest manifest;
    manifest.accounts = readRows(root, accountKind, accountFields());
    manifest.routes = readRows(root, routeKind, routeFields());
    manifest.services = readRows(root, serviceKind, serviceFields());
    if (auto policy = root.table(policyKind))
        readFields(*policy, manifest.policy, policyFields());
    root.reportUnknown();

    // 3. What lies between fields and tables.
    checkAcross(manifest, root);
    if (auto problems = document.problems(); !problems.empty())
        return problems;
    return Declarations { rowsOf(std::move(manifest.accounts)), rowsOf(std::move(manifest.routes)),
        rowsOf(std::move(manifest.services)), manifest.policy };
}

std::vector<ManifestSection> sectionsOf(const Declarations& declarations)
{
    std::vector<ManifestSection> sections;
    addSections(sections, accountKind, declarations.accounts, accountFields());
    sections.push_back(makeSection(std::string(policyKind),
        '[' + std::string(policyKind) + "]\n" + writeFields(declarations.policy, policyFields())));
    addSections(sections, routeKind, declarations.routes, routeFields());
    addSections(sections, serviceKind, declarations.services, serviceFields());
    for (auto& section : sections)
        section = makeSection(std::move(section.name), withoutEmptyAccounts(std::move(section.text)));
    // Rows of the same name keep their order, each in a section of its own.
    std::set<std::string> names;
    for (auto& section : sections) {
        while (!names.insert(section.name).second)
            section.name += repeatedName;
    }
    std::sort(sections.begin(), sections.end(),
        [](const ManifestSection& left, const ManifestSection& right) { return left.name < right.name; });
    return sections;
}

std::vector<ManifestSection> splitIntoSections(std::string_view text)
{
    const auto result = checkManifest(text, {});
    return result ? sectionsOf(result.declarations()) : std::vector<ManifestSection> {};
}

void sortByName(Declarations& declarations)
{
    sortRows(declarations.accounts);
    sortRows(declarations.routes);
    sortRows(declarations.services);
}

// Whoever wrote the sections has checked them as a manifest. A second set of limits here would keep this node from a
// configuration that others go by.
ManifestResult assembleSections(std::span<const ManifestSection> sections)
{
    static const auto s_accountFields = withoutRanges(accountFields());
    static const auto s_routeFields = withoutRanges(routeFields());
    static const auto s_serviceFields = withoutRanges(serviceFields());
    static const auto s_policyFields = withoutRanges(policyFields());
    Declarations declarations;
    for (const auto& section : sections) {
        if (section.hash != stableHash(section.text))
            return std::vector<ManifestProblem> { { section.name, 1, 1,
                "section " + inQuotes(section.name) + " does not match its hash", "the section as it was split" } };
        const Document document(section.text, section.name);
        auto root = document.root();
        addRows<ClientAccount>(declarations.accounts, root, accountKind, s_accountFields);
        addRows<Route>(declarations.routes, root, routeKind, s_routeFields);
        addRows<Service>(declarations.services, root, serviceKind, s_serviceFields);
        if (auto policy = root.table(policyKind))
            readFields<Policy>(*policy, declarations.policy, s_policyFields);
        root.reportUnknown();
        if (auto problems = document.problems(); !problems.empty())
            return problems;
    }
    sortByName(declarations);
    return declarations;
}

uint64_t contentHashOf(std::span<const ManifestSection> sections)
{
    std::vector<uint64_t> hashes;
    for (const auto& section : sections)
        hashes.push_back(section.hash);
    std::sort(hashes.begin(), hashes.end());
    uint64_t content = hashes.size();
    for (const auto hash : hashes)
        content = mixHash(content, hash);
    return content;
}

} // namespace Vanillaridge
