#include "dissemination/SectionStore.h"

#include <algorithm>
#include <unordered_set>

namespace Vanillaridge {

uint64_t contentHashOf(const SectionHashes& hashes)
{
    uint64_t sum = 0;
    for (const auto& [name, hash] : hashes)
        sum = mixHash(sum, mixHash(stableHash(name), hash));
    return sum;
}

SectionHashes hashesOf(std::span<const ConfigurationSection> sections)
{
    SectionHashes hashes;
    for (const auto& section : sections)
        hashes.emplace(section.name, stableHash(section.text));
    return hashes;
}

const std::string* SectionStore::text(uint64_t hash) const
{
    const auto found = m_texts.find(hash);
    return found == m_texts.end() ? nullptr : &found->second;
}

void SectionStore::hold(uint64_t number, std::vector<ConfigurationSection> sections)
{
    if (m_number > 0) {
        m_earlier.emplace_back(m_number, std::move(m_hashes));
        if (m_earlier.size() > m_listsKept)
            m_earlier.pop_front();
    }
    m_number = number;
    m_hashes.clear();
    for (auto& section : sections) {
        const auto hash = stableHash(section.text);
        m_hashes.emplace(std::move(section.name), hash);
        m_texts.emplace(hash, std::move(section.text));
    }
    dropUnlistedTexts();
}

void SectionStore::dropUnlistedTexts()
{
    std::unordered_set<uint64_t> listed;
    const auto addAll = [&](const SectionHashes& hashes) {
        for (const auto& [name, hash] : hashes)
            listed.insert(hash);
    };
    addAll(m_hashes);
    for (const auto& [number, hashes] : m_earlier)
        addAll(hashes);
    std::erase_if(m_texts, [&](const auto& entry) { return !listed.contains(entry.first); });
}

SectionList SectionStore::listSince(uint64_t base) const
{
    const auto found
        = std::find_if(m_earlier.begin(), m_earlier.end(), [&](const auto& earlier) { return earlier.first == base; });
    const SectionHashes none;
    const auto isKnown = found != m_earlier.end();
    const auto& before = isKnown ? found->second : none;
    SectionList list { m_number, contentHash(), {}, isKnown ? base : 0, {} };
    for (const auto& [name, hash] : m_hashes) {
        const auto old = before.find(name);
        if (old == before.end() || old->second != hash)
            list.sections.push_back({ name, hash });
    }
    for (const auto& [name, hash] : before)
        if (!m_hashes.contains(name))
            list.removed.push_back(name);
    return list;
}

std::optional<SectionHashes> SectionStore::resolve(const SectionList& list) const
{
    if (list.base != 0 && list.base != m_number)
        return std::nullopt;
    auto hashes = list.base == 0 ? SectionHashes() : m_hashes;
    for (const auto& name : list.removed)
        hashes.erase(name);
    for (const auto& section : list.sections)
        hashes[section.name] = section.hash;
    if (contentHashOf(hashes) != list.contentHash)
        return std::nullopt;
    return hashes;
}

} // namespace Vanillaridge
