// Fetching a configuration from peers, and giving it to them.
#include "dissemination/DisseminationState.h"

#include "log/Log.h"

#include <algorithm>

namespace Vanillaridge {

void Dissemination::State::fetch(Instant now, Effects& effects)
{
    const auto record = board.configuration().freshness();
    if (record.newestNumber <= heldNumber()) {
        fetching.reset();
        return;
    }
    // 1. Begin with whoever told of the number; it has it.
    if (!fetching) {
        fetching.emplace();
        fetching->number = record.newestNumber;
        fetching->peer = record.newestFrom;
        fetching->begunAt = now;
        askNextPeer(now, effects);
        return;
    }
    if (now < fetching->deadline)
        return;
    // 2. Go on to others, and to the store when they do not help.
    logGivenUp("no-answer", now);
    fetching->peer = record.newestFrom == fetching->peer ? Endpoint() : record.newestFrom;
    if (fetching->peersTried >= settings.peersTried && now >= nextStoreFetch) {
        nextStoreFetch = now + random.jittered(settings.storeRetry, 0.5);
        fetching->peersTried = 0;
        readManifest(now, effects);
    }
    askNextPeer(now, effects);
}

std::optional<Endpoint> Dissemination::State::drawPeer()
{
    // Reservoir sampling: each live member is equally likely.
    std::optional<Endpoint> drawn;
    uint64_t seen = 0;
    board.members().forEach([&](NodeId id, const MemberRecord& record) {
        if (id != selfId && record.said.state == MemberState::Alive && random.below(++seen) == 0)
            drawn = record.said.endpoint;
    });
    return drawn;
}

void Dissemination::State::askNextPeer(Instant now, Effects& effects)
{
    if (fetching->peer.empty())
        fetching->peer = drawPeer().value_or(Endpoint());
    fetching->deadline = now + settings.answerTimeout;
    fetching->hashes.clear();
    ++fetching->peersTried;
    if (fetching->peer.empty())
        return;
    const auto base = fetching->wantsWholeList ? 0 : heldNumber();
    effects.messages.push_back({ fetching->peer, SectionListRequest { fetching->number, base } });
}

// Goes on to another peer at once, unless enough were tried: then the deadline has to pass first.
void Dissemination::State::giveUpPeer(std::string_view why, Instant now, Effects& effects)
{
    logGivenUp(why, now);
    fetching->peer.clear();
    if (fetching->peersTried < settings.peersTried)
        askNextPeer(now, effects);
}

void Dissemination::State::handle(const Endpoint& from, const SectionListRequest& request, Effects& effects)
{
    SectionList list;
    list.number = store.number();
    if (store.number() >= request.number)
        list = store.listSince(request.base);
    effects.messages.push_back({ from, std::move(list) });
}

void Dissemination::State::handle(const Endpoint& from, const SectionList& list, Instant now, Effects& effects)
{
    if (!fetching || from != fetching->peer)
        return;
    // A peer that holds less than what was asked for tells its number only.
    if (list.number < fetching->number || list.number <= heldNumber()) {
        giveUpPeer("behind", now, effects);
        return;
    }
    auto hashes = store.resolve(list);
    if (!hashes) {
        fetching->wantsWholeList = true;
        giveUpPeer("other-base", now, effects);
        return;
    }
    fetching->number = list.number;
    fetching->contentHash = list.contentHash;
    fetching->hashes = std::move(*hashes);
    requestSections(now, effects);
}

// Asks for what is still missing, or puts the sections together when nothing is.
void Dissemination::State::requestSections(Instant now, Effects& effects)
{
    SectionRequest request { fetching->number, {} };
    for (const auto& [name, hash] : fetching->hashes)
        if (request.hashes.size() < settings.sectionsPerRequest && !store.text(hash)
            && !fetching->arrived.contains(hash))
            request.hashes.push_back(hash);
    if (request.hashes.empty()) {
        finishFetch(effects);
        return;
    }
    fetching->deadline = now + settings.answerTimeout;
    effects.messages.push_back({ fetching->peer, std::move(request) });
}

void Dissemination::State::handle(const Endpoint& from, const SectionRequest& request, Effects& effects)
{
    SectionReply reply { store.number(), {} };
    size_t size = 0;
    for (const auto hash : request.hashes) {
        const auto* text = store.text(hash);
        if (!text)
            continue;
        if (!reply.sections.empty() && size + text->size() > settings.replyLimit)
            break;
        size += text->size();
        reply.sections.push_back(*text);
    }
    effects.messages.push_back({ from, std::move(reply) });
}

void Dissemination::State::handle(const Endpoint& from, const SectionReply& reply, Instant now, Effects& effects)
{
    if (!fetching || from != fetching->peer || fetching->hashes.empty())
        return;
    // Only what was asked for is kept, known by its content.
    std::unordered_map<uint64_t, bool> wanted;
    for (const auto& [name, hash] : fetching->hashes)
        wanted.emplace(hash, true);
    size_t useful = 0;
    for (const auto& text : reply.sections) {
        const auto hash = stableHash(text);
        if (wanted.contains(hash) && fetching->arrived.emplace(hash, text).second)
            ++useful;
    }
    board.counters().add(Counter::SectionsFetched, useful);
    // A peer that has gone on to another configuration cannot help any more.
    if (useful == 0) {
        giveUpPeer("sections-gone", now, effects);
        return;
    }
    requestSections(now, effects);
}

void Dissemination::State::finishFetch(Effects& effects)
{
    std::vector<ConfigurationSection> sections;
    for (const auto& [name, hash] : fetching->hashes) {
        const auto* held = store.text(hash);
        sections.push_back({ name, held ? *held : fetching->arrived.at(hash) });
    }
    const auto number = fetching->number;
    auto checked = codec.assemble(sections);
    if (!checked.declarations) {
        noteUnreadable(number, checked, effects);
        return;
    }
    // What peers hold is kept as they sent it, so that the hashes stay theirs.
    checked.sections = std::move(sections);
    logFetched();
    fetching.reset();
    take(number, std::move(checked), effects);
}

void Dissemination::State::logGivenUp(std::string_view why, Instant now) const
{
    if (!fetching->peer.empty())
        log(LogLevel::Info, "configuration-peer-given-up",
            { { "number", fetching->number }, { "held", heldNumber() }, { "peer", fetching->peer }, { "why", why },
                { "peers-tried", fetching->peersTried }, { "fetching-ms", inMilliseconds(now - fetching->begunAt) } });
}

void Dissemination::State::logFetched() const
{
    log(LogLevel::Info, "configuration-fetched",
        { { "number", fetching->number }, { "peer", fetching->peer }, { "peers-tried", fetching->peersTried },
            { "took-ms", inMilliseconds(clock.now() - fetching->begunAt) } });
}

// The fleet goes by a configuration that this node cannot read from sections: it stays behind, and reads the object.
void Dissemination::State::noteUnreadable(uint64_t number, const CheckedManifest& checked, Effects& effects)
{
    board.counters().add(Counter::SectionsUnreadable);
    log(LogLevel::Error, "configuration-sections-unreadable",
        { { "number", number }, { "peer", fetching->peer },
            { "error", checked.errors.empty() ? std::string() : checked.errors.front() } });
    const auto now = clock.now();
    fetching->peer.clear();
    fetching->hashes.clear();
    fetching->arrived.clear();
    fetching->deadline = now + random.jittered(settings.storeRetry, 0.5);
    readManifest(now, effects);
}

} // namespace Vanillaridge
