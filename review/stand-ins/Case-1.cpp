// Uploads in chunks, at the pace of a narrow link, of which one backend server rejects some before they are in.
#include "Case.h"

#include <atomic>

using namespace Review;

namespace {

constexpr int uploads = 24;
constexpr size_t pieces = 14;
constexpr size_t pieceBytes = 10'000;
// 4 Mbit/s.
constexpr milliseconds piecePause(20);
// How much of a long request a server has read when it rejects it.
constexpr size_t rejectedAfter = 60'000;
// The first server rejects 4 in 10 of the requests that it gets.
constexpr int rejectedOf = 10;
constexpr int rejectedShare = 4;

std::string pieceOf(int upload, size_t index)
{
    std::string text = "upload " + std::to_string(upload) + " piece " + std::to_string(index) + ' ';
    while (text.size() < pieceBytes)
        text += static_cast<char>('a' + (text.size() + index) % 26);
    return text;
}

std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// Rejects before the body is in, and otherwise runs what it is sent.
bool rejectSome(Server& server, Connection& connection, Message message, std::atomic<int>& arrivals)
{
    const auto arrival = arrivals++;
    const bool rejects = hasTrouble() && arrival % rejectedOf < rejectedShare;
    if (!rejects) {
        connection.readBody(message, milliseconds(8000));
        if (!message.whole)
            return false;
        server.noteRun(message);
        return server.answer(connection, message);
    }
    const auto id = message.header("Request-Id");
    connection.readAtLeast(rejectedAfter, milliseconds(2000));
    record("rejected " + id + " at " + server.instance() + " with Not-Executed, before it was in");
    server.reject(connection);
    // It reads on, so that its answer is not lost with a reset.
    connection.readBody(message, milliseconds(2000));
    return false;
}

void play()
{
    // 1. One node where callers are, two beside servers of the photo service.
    Node entry("zone-a", "reports", 2);
    Node first("zone-b", "photos", 3);
    Node second("zone-b", "photos", 4);
    putConfiguration(configuration(1, { route("r-photo", "/photos/", "photos", "upload") }, { "photos", "reports" },
        { tenant("north", { "example-key-of-a-tenant" }) }));
    for (auto* node : { &entry, &first, &second })
        node->start();
    std::atomic<int> arrivals { 0 };
    Server rejecting("photos", "i-first", first.application(), first.zone(), first.control());
    rejecting.onRequest([&](Server& server, Connection& connection, Message message) {
        return rejectSome(server, connection, std::move(message), arrivals);
    });
    Server sound("photos", "i-second", second.application(), second.zone(), second.control());
    for (auto* server : { &rejecting, &sound }) {
        server->start();
        server->startBeating();
    }
    for (auto* node : { &entry, &first, &second })
        node->awaitReady();
    std::this_thread::sleep_for(milliseconds(3000));

    // 2. Uploads, one after the other.
    std::map<std::string, std::pair<size_t, std::string>> sent;
    for (int upload = 0; upload < uploads; ++upload) {
        Request request;
        request.id = "upload-" + std::to_string(upload);
        request.method = "POST";
        request.path = "/photos/set";
        request.deadline = 3000;
        const auto connection = Connection::open(entry.outbound());
        require(connection && connection->send(headOf(request, "Transfer-Encoding: chunked\r\n")), "no connection");
        std::string whole;
        bool open = true;
        for (size_t index = 0; open && index < pieces; ++index) {
            const auto piece = pieceOf(upload, index);
            whole += piece;
            open = connection->send(chunk(piece));
            std::this_thread::sleep_for(piecePause);
        }
        connection->send("0\r\n\r\n");
        sent[request.id] = { whole.size(), digestOf(whole) };
        record("sent     " + request.id + " POST /photos/set with " + std::to_string(whole.size()) + " bytes");
        const auto message = connection->read(milliseconds(7000));
        record("answered " + request.id + ' '
            + (message && message->whole ? std::to_string(message->status())
                        + (message->header("Response-Signature").empty() ? " from the system" : " from the server")
                                         : std::string("no whole answer")));
    }

    // 3. Every request that ran has to have run with the body that its caller sent.
    int runs = 0;
    for (auto* server : { &rejecting, &sound }) {
        for (const auto& run : server->runs()) {
            ++runs;
            const auto& [size, digest] = sent[run.id];
            if (run.digest != digest)
                broken("UNASKED: " + run.id + " ran with a body of " + std::to_string(run.bodyBytes)
                    + " bytes; its caller sent " + std::to_string(size));
        }
    }
    record("uploads that ran: " + std::to_string(runs) + " of " + std::to_string(uploads));
    require(runs > uploads / 2, "most uploads did not run");
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }
