/// What the node's three HTTP addresses do with requests. Private to the node library.
#pragma once

#include "node/EntryFlow.h"

namespace Vanillaridge {

/// What all addresses do with what is no request.
class CountingHandler : public HttpHandler {
public:
    CountingHandler(Board& board, const Dialect& dialect)
        : m_board(board)
        , m_dialect(dialect)
    {
    }
    SimpleReply rejection(Reason) override;
    void noteBuffersFreed(size_t connections) override;

protected:
    Board& m_board;
    const Dialect& m_dialect;
    std::atomic<Duration::rep> m_nextBufferLine { 0 };
};

/// Callers' requests.
class CallerHandler final : public CountingHandler {
public:
    CallerHandler(Parts& parts, EntryFlow& flow)
        : CountingHandler(parts.board, parts.dialect)
        , m_intake(parts.control.intake)
        , m_flow(flow)
    {
    }
    Task<void> serve(std::shared_ptr<HttpExchange>) override;
    void noteAcceptance(Acceptance) override;

private:
    Intake& m_intake;
    EntryFlow& m_flow;
};

/// The backend servers beside this node: their announcements, and their calls.
class ServerHandler final : public CountingHandler {
public:
    ServerHandler(Parts& parts, EntryFlow& flow)
        : CountingHandler(parts.board, parts.dialect)
        , m_parts(parts)
        , m_flow(flow)
    {
    }
    Task<void> serve(std::shared_ptr<HttpExchange>) override;

private:
    Task<SimpleReply> answerNews(ServerNews);
    SimpleReply takeNews(const ServerNews&);

    Parts& m_parts;
    EntryFlow& m_flow;
};

/// Operators: metrics, liveness, readiness, status.
class OperatorHandler final : public CountingHandler {
public:
    explicit OperatorHandler(Parts& parts)
        : CountingHandler(parts.board, parts.dialect)
        , m_parts(parts)
    {
    }
    Task<void> serve(std::shared_ptr<HttpExchange>) override;

private:
    Parts& m_parts;
};

/// Whoever sends callers here: readiness and nothing else.
class ReadinessHandler final : public CountingHandler {
public:
    explicit ReadinessHandler(Parts& parts)
        : CountingHandler(parts.board, parts.dialect)
        , m_parts(parts)
    {
    }
    Task<void> serve(std::shared_ptr<HttpExchange>) override;

private:
    Parts& m_parts;
};

} // namespace Vanillaridge
