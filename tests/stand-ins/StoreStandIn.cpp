// An object store for tests and the demonstration: see StoreStandIn.h.
#include "StoreStandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>

int main(int argumentCount, char** arguments)
{
    CLI::App app { "Stand-in for the platform's object store, in memory", "store-stand-in" };
    std::string listenAddress = "127.0.0.1:9000";
    app.add_option("--listen", listenAddress, "address:port to listen on; port 0 for any")->capture_default_str();
    CLI11_PARSE(app, argumentCount, arguments);

    using namespace StandIns;
    Asio::io_context context { 1 };
    auto store = std::make_shared<StoreStandIn>(context);
    store->listen(endpointFromText(listenAddress));
    fmt::print("store-stand-in listening port={}\n", store->port());
    std::fflush(stdout);
    Asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { context.stop(); });
    context.run();
}
