// The sections of the configuration in force, and the lists of earlier ones, for peers that ask.
#pragma once

#include "dissemination/Dissemination.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace Vanillaridge {

// Content hash of each section by name.
using SectionHashes = std::map<std::string, uint64_t>;

uint64_t contentHashOf(const SectionHashes&);
SectionHashes hashesOf(std::span<const ConfigurationSection>);

// To be used under one lock.
class SectionStore {
public:
    explicit SectionStore(size_t listsKept)
        : m_listsKept(listsKept)
    {
    }

    uint64_t number() const { return m_number; }
    uint64_t contentHash() const { return contentHashOf(m_hashes); }
    const SectionHashes& hashes() const { return m_hashes; }
    const std::string* text(uint64_t hash) const;

    void hold(uint64_t number, std::vector<ConfigurationSection>);
    // All sections, or what differs from the base if its list is still known.
    SectionList listSince(uint64_t base) const;
    // The hashes that a list stands for, if it is whole or its base is what is held here.
    std::optional<SectionHashes> resolve(const SectionList&) const;

private:
    void dropUnlistedTexts();

    const size_t m_listsKept;
    uint64_t m_number { 0 };
    SectionHashes m_hashes;
    // By content hash, of the present list and the earlier ones: a peer that was given a list asks for its sections
    // when another configuration may be in force here.
    std::unordered_map<uint64_t, std::string> m_texts;
    std::deque<std::pair<uint64_t, SectionHashes>> m_earlier;
};

} // namespace Vanillaridge
