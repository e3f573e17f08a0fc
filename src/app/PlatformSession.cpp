#include "app/PlatformSession.h"

#include "platformclient/PlatformClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillaridge {

struct PlatformSession::Parts {
    explicit Parts(const PlatformSettings& settings)
        : platform(context, settings, clock, *random, counters)
    {
    }

    // Runs the event loop until the call has called back.
    template <typename Value, typename Call> PlatformResult<Value> await(Call call)
    {
        std::optional<PlatformResult<Value>> outcome;
        call([&](PlatformResult<Value> result) { outcome.emplace(std::move(result)); });
        context.restart();
        while (!outcome && context.run_one()) { }
        return outcome ? *outcome : PlatformResult<Value>(PlatformError::Unreachable);
    }

    boost::asio::io_context context { 1 };
    SystemClock clock;
    std::unique_ptr<RandomSource> random = makeSystemRandom();
    Counters counters;
    HttpPlatform platform;
};

PlatformSession::PlatformSession(const PlatformSettings& settings)
    : m_parts(std::make_unique<Parts>(settings))
{
}

PlatformSession::~PlatformSession() = default;

PlatformResult<StoredObject> PlatformSession::get(std::string_view name)
{
    return m_parts->await<StoredObject>([&](auto done) { m_parts->platform.get(name, std::move(done)); });
}

PlatformResult<uint64_t> PlatformSession::put(std::string_view name, std::string_view value, uint64_t expectedVersion)
{
    return m_parts->await<uint64_t>(
        [&](auto done) { m_parts->platform.put(name, value, expectedVersion, std::move(done)); });
}

void PlatformSession::pause(Duration duration) { boost::asio::steady_timer(m_parts->context, duration).wait(); }

} // namespace Vanillaridge
