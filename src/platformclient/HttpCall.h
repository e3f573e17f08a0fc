// One HTTP exchange with the platform over a connection of its own.
#pragma once

#include "platform/Platform.h"

#include <boost/asio/io_context.hpp>

namespace Vanillaridge {

// What to send.
struct HttpQuestion {
    enum class Method : uint8_t { Get, Put, Delete };
    Method method { Method::Get };
    std::string target;
    std::string body;
    // Version that a change expects.
    uint64_t expectedVersion { absentVersion };
    // How long the platform may take beyond the usual time-out.
    Duration patience { 0 };

    bool isChange() const { return method != Method::Get; }
};

// What came back.
struct HttpAnswer {
    unsigned status { 0 };
    // 0 when the answer names none.
    uint64_t version { 0 };
    std::string body;
};

// Where the platform is.
struct HttpServerName {
    std::string host;
    std::string port;
};

using HttpCallback = std::function<void(PlatformResult<HttpAnswer>)>;

// Makes the exchange and calls back once: with an answer of whatever status, or with Unreachable when a read failed or
// a change was never sent, or with AnswerLost when a change may have arrived.
void exchange(boost::asio::io_context&, const HttpServerName&, HttpQuestion, Duration timeout, HttpCallback);

} // namespace Vanillaridge
