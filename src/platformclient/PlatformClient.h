/// The platform's object API over HTTP, and a local substitute for a single instance without a platform.
///
/// docs/PLATFORM.md describes the HTTP side. Every call makes a connection of its own, so a connection that has gone
/// silent costs one time-out and is never used again.
#pragma once

#include "board/Counters.h"
#include "platform/Platform.h"
#include "settings/Settings.h"

namespace boost::asio {
class io_context;
}

namespace Vanillaridge {

/// The platform over HTTP. Calls run on the given io_context, on whichever of its threads is free; they may still be
/// under way when this object goes, so whatever the callbacks refer to must outlive the io_context's run.
///
/// A call that the node's own rate limit forbids gives TooManyCalls; one made while backing off after failures gives
/// Unreachable. Neither reaches the platform nor counts as a call to it.
class HttpPlatform final : public Platform {
public:
    HttpPlatform(boost::asio::io_context&, const PlatformSettings&, const Clock&, RandomSource&, Counters&);
    ~HttpPlatform() override;

    void get(std::string_view name, Callback<StoredObject>) override;
    void list(std::string_view prefix, Callback<std::vector<StoredObject>>) override;
    void put(std::string_view name, std::string_view value, uint64_t expectedVersion, Callback<uint64_t>) override;
    void remove(std::string_view name, uint64_t expectedVersion, Callback<uint64_t>) override;
    void watch(std::string_view name, uint64_t pastVersion, Duration patience, Callback<StoredObject>) override;

private:
    struct Client;
    std::shared_ptr<Client> m_client;
};

/// Objects in memory, with a manifest file as the object "manifest": for one instance without a platform. The file is
/// looked at again with every read and during watches; a new content is a new version. All else is lost at exit.
class FilePlatform final : public Platform {
public:
    FilePlatform(boost::asio::io_context&, std::string manifestFile);
    ~FilePlatform() override;

    void get(std::string_view name, Callback<StoredObject>) override;
    void list(std::string_view prefix, Callback<std::vector<StoredObject>>) override;
    void put(std::string_view name, std::string_view value, uint64_t expectedVersion, Callback<uint64_t>) override;
    void remove(std::string_view name, uint64_t expectedVersion, Callback<uint64_t>) override;
    void watch(std::string_view name, uint64_t pastVersion, Duration patience, Callback<StoredObject>) override;

private:
    struct Store;
    std::shared_ptr<Store> m_store;
};

/// The platform that the settings name.
std::unique_ptr<Platform> makePlatform(
    boost::asio::io_context&, const PlatformSettings&, const Clock&, RandomSource&, Counters&);

} // namespace Vanillaridge
