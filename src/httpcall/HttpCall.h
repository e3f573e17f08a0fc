/// One whole HTTP call as a client: a small request and its whole answer, over a connection of its own. A connection
/// that has gone silent therefore costs one time-out and is never used again.
#pragma once

#include "core/Core.h"

namespace boost::asio { // NOLINT(readability-identifier-naming): not ours
class io_context;
}

namespace Vanillaridge {

/// What to send.
struct HttpQuestion {
    enum class Method : uint8_t { Get, Post, Put, Delete };
    Method method { Method::Get };
    std::string target;
    std::string body {};
    std::string contentType { "application/json" };
    /// Time that the server may take beyond the usual time-out, as with a call that waits for news.
    Duration patience { 0 };
    /// Name of a header of the answer that is wanted; empty for none.
    std::string wantedHeader {};

    bool isChange() const { return method != Method::Get; }
};

/// What came back, whatever its status.
struct HttpAnswer {
    unsigned status { 0 };
    std::string body;
    /// Value of the header that HttpQuestion::wantedHeader names; empty when the answer has none.
    std::string wantedHeader {};
};

/// Why there is no answer.
enum class HttpCallError : uint8_t {
    /// There was no connection: nothing has been sent.
    NotSent,
    /// It was sent, or part of it, and no whole answer came.
    NoAnswer,
};

/// The answer, or why there is none.
struct HttpCallResult {
    std::optional<HttpAnswer> answer {};
    HttpCallError error { HttpCallError::NoAnswer };
};

using HttpCallback = std::function<void(HttpCallResult)>;

/// Makes the call and calls back once, from a thread that runs the io_context. The endpoint is an address and port by
/// number; anything else ends as NotSent.
void callHttp(boost::asio::io_context&, const Endpoint&, HttpQuestion, Duration timeout, HttpCallback);

} // namespace Vanillaridge
