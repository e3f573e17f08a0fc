#include "manifest/Checks.h"
#include "manifest/Fields.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    constexpr std::string_view accountKind = "account";
    constexpr std::string_view routeKind = "route";
    constexpr std::string_view serviceKind = "service";
    constexpr std::string_view policyKind = "policy";

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
    std::sort(sections.begin(), sections.end(),
        [](const ManifestSection& left, const ManifestSection& right) { return left.name < right.name; });
    return sections;
}

std::vector<ManifestSection> splitIntoSections(std::string_view text)
{
    const auto result = checkManifest(text, {});
    return result ? sectionsOf(result.declarations()) : std::vector<ManifestSection> {};
}

ManifestResult assembleSections(std::span<const ManifestSection> sections)
{
    constexpr std::string_view fileName = "sections";
    std::string text;
    for (const auto& section : sections) {
        if (section.hash != stableHash(section.text))
            return std::vector<ManifestProblem> { { std::string(fileName), 1, 1,
                "section " + inQuotes(section.name) + " does not match its hash", "the section as it was split" } };
        text.append(section.text).append("\n");
    }
    return checkManifest(text, fileName);
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
