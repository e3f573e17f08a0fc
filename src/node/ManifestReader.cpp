#include "node/ManifestReader.h"

#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    // The declarations of a manifest with their sections, or its problems as lines of text.
    CheckedManifest translated(const ManifestResult& result)
    {
        CheckedManifest checked;
        if (!result) {
            for (const auto& problem : result.problems()) {
                checked.errors.push_back(fmt::format(
                    "{}:{}: {}; write {}", problem.line, problem.column, problem.what, problem.writeInstead));
            }
            return checked;
        }
        checked.declarations = result.declarations();
        checked.number = result.number();
        // The order that sections are read back in, so that all nodes go by the same value.
        sortByName(*checked.declarations);
        for (auto& section : sectionsOf(result.declarations()))
            checked.sections.push_back({ std::move(section.name), std::move(section.text) });
        return checked;
    }

} // namespace

CheckedManifest ManifestReader::check(std::string_view text) const { return translated(m_read(text)); }

CheckedManifest ManifestReader::assemble(std::span<const ConfigurationSection> sections) const
{
    std::vector<ManifestSection> parts;
    for (const auto& section : sections)
        parts.push_back({ section.name, stableHash(section.text), section.text });
    return translated(assembleSections(parts));
}

} // namespace Vanillaridge
