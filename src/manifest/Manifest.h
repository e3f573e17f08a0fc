/// Reads and checks manifests: what operators declare, in TOML. The same code serves `vanillaridge check`,
/// `vanillaridge apply` and the node, so what passes one passes all.
///
/// A manifest is also cut into sections, one for each account, route and service and one for the policy, known by the
/// hash of their canonical text. A change of one account changes one small section.
#pragma once

#include "configuration/Configuration.h"
#include "documents/Documents.h"

namespace Vanillaridge {

/// Greatest manifest that is read, in bytes: what the store holds in one value.
constexpr size_t manifestLimit = 1 << 20;

using ManifestProblem = Problem;

/// The declarations of a manifest, or every problem found in it.
class ManifestResult : public Checked<Declarations> {
public:
    using Checked::Checked;
    ManifestResult(Declarations declarations, uint64_t number)
        : Checked(std::move(declarations))
        , m_number(number)
    {
    }
    const Declarations& declarations() const { return value(); }
    /// The number that the manifest gives itself, higher with each change; nothing when it has none.
    std::optional<uint64_t> number() const { return m_number; }

private:
    std::optional<uint64_t> m_number;
};

/// Reads and checks a manifest. The file name is only used in problems.
ManifestResult checkManifest(std::string_view text, std::string_view fileName);

/// One piece of a manifest in canonical form.
struct ManifestSection {
    /// Kind and name, such as "account/north".
    std::string name;
    /// stableHash of the text.
    uint64_t hash { 0 };
    std::string text;
    bool operator==(const ManifestSection&) const = default;
};

/// The sections of checked declarations, in the order of their names.
std::vector<ManifestSection> sectionsOf(const Declarations&);
/// The sections of a manifest; none when it has problems.
std::vector<ManifestSection> splitIntoSections(std::string_view text);
/// Reads sections back to the declarations that they were made of, sorted by name. Only what cannot be read is a
/// problem, or a section whose hash is not that of its text: the declarations were checked before they were cut into
/// sections, and not always by checkManifest().
ManifestResult assembleSections(std::span<const ManifestSection>);
/// Sorts accounts, routes and services by name; those of the same name keep their order.
void sortByName(Declarations&);
/// One hash for all sections together, whatever their order.
uint64_t contentHashOf(std::span<const ManifestSection>);

} // namespace Vanillaridge
