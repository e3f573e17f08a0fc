/// How requests, answers and news of backend servers are worded in HTTP. The front ends are given a dialect; ours is
/// the default. A dialect translates and decides nothing.
#pragma once

#include "announcement/Announcement.h"
#include "http/Http.h"

namespace Vanillaridge {

/// What a caller says of its request, beside method, target and body.
struct CallerTerms {
    /// Absent when no key came.
    std::optional<std::string_view> key;
    /// How long the caller will wait.
    std::optional<Duration> remaining;
    /// How important the caller holds it.
    std::optional<Importance> importance;
};

/// What a refusal tells its caller.
struct RefusalTerms {
    Reason reason { Reason::Internal };
    /// When to come again; 0 to say nothing.
    Duration retryAfter { 0 };
    /// The system's own name for the request; empty when it got none.
    std::string_view requestText {};
};

/// What goes with a request to the backend server beside the guard.
struct ServerTerms {
    const RequestContext& context;
    /// Time that the backend server has.
    Duration remaining { 0 };
    /// The backend server's own name for itself, as it announced it; empty when it gave none.
    std::string_view instance;
};

/// What an answer of a backend server is worth.
enum class AnswerKind : uint8_t {
    /// The backend server's answer to the request.
    Genuine,
    /// The backend server says that it has not run the request and will not.
    NotRun,
    /// An answer to some other request, to be passed over.
    Stray,
    /// Not to be taken for an answer of the backend server.
    Forged,
};

/// May be used by several threads.
class Dialect {
public:
    virtual ~Dialect() = default;

    // --- Callers ---

    virtual CallerTerms callerTerms(const RequestHead&) const = 0;
    /// The caller's own name for its request, for logs; empty when it gave none.
    virtual std::string_view labelIn(std::span<const HeaderField>) const = 0;
    virtual SimpleReply refusal(const RefusalTerms&) const = 0;

    // --- Backend servers ---

    /// Whether a header of this name is the system's own, so that it is passed on neither way.
    virtual bool isOwnHeader(std::string_view name) const = 0;
    /// Adds what the node where the request entered tells the backend server.
    /// \param callerService service beside that node; empty when there is none
    virtual void addEntryHeaders(
        const RequestContext&, std::string_view callerService, std::vector<HeaderField>&) const = 0;
    /// Adds what the guard tells the backend server.
    virtual void addGuardHeaders(const ServerTerms&, std::vector<HeaderField>&) const = 0;
    /// Judges an answer to the request that was sent.
    virtual AnswerKind judge(const RequestHead& sent, const ReplyHead&) const = 0;

    /// Whether requests to this path are news of a backend server rather than calls.
    virtual bool isServerNews(const RequestHead&) const = 0;
    /// Reads such news; nothing when it is malformed.
    virtual std::optional<ServerNews> serverNews(const RequestHead&, std::string_view body) const = 0;
    /// The attempt whose backend server makes this call, in the words of addGuardHeaders; empty when it names none.
    virtual std::string_view parentOf(const RequestHead&) const = 0;
    /// Whether calls name the attempt that they belong to. Where they don't, they are served like callers' requests.
    virtual bool callsNameParent() const = 0;
};

/// The product's own dialect.
const Dialect& ownDialect();

/// Names of the headers of our own dialect. All begin with the same word.
constexpr std::string_view ownHeaderPrefix = "vanillaridge-";
constexpr std::string_view requestHeader = "Vanillaridge-Request";
constexpr std::string_view remainingHeader = "Vanillaridge-Remaining-Milliseconds";
constexpr std::string_view importanceHeader = "Vanillaridge-Importance";
constexpr std::string_view outcomeHeader = "Vanillaridge-Outcome";
constexpr std::string_view reasonHeader = "Vanillaridge-Reason";

/// The key of an Authorization header with the Bearer scheme; nothing when there is none.
std::optional<std::string_view> bearerKey(const RequestHead&);
/// A header that is a whole number of milliseconds; nothing when it is missing or malformed.
std::optional<Duration> millisecondsIn(const RequestHead&, std::string_view header);
/// A small reply with a body of the given type.
SimpleReply textReply(uint16_t status, std::string_view contentType, std::string body);

/// Headers of a caller that are passed on to a backend server: none that carries the caller's key, and none of the
/// system's own.
std::vector<HeaderField> headersToPassOn(const Dialect&, std::span<const HeaderField>, std::string_view key);

/// The name by which a backend server calls the attempt that it is working on.
std::string toText(const AttemptId&);
std::optional<AttemptId> attemptIdFromText(std::string_view);

} // namespace Vanillaridge
