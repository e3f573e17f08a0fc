// A platform for tests and the demonstration: see PlatformStandIn.h.
#include "PlatformStandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>

int main(int argumentCount, char** arguments)
{
    CLI::App app { "Stand-in for the platform's object API, in memory", "platform-stand-in" };
    std::string listenAddress = "127.0.0.1:9000";
    app.add_option("--listen", listenAddress, "address:port to listen on; port 0 for any")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);

    using namespace StandIns;
    Asio::io_context context { 1 };
    auto platform = std::make_shared<PlatformStandIn>(context);
    platform->listen(endpointFromText(listenAddress));
    fmt::print("platform-stand-in listening port={}\n", platform->port());
    std::fflush(stdout);
    Asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { context.stop(); });
    context.run();
}
