/// Rate and burst of client accounts over all instances together.
///
/// In any window of length t, the requests of an account that all nodes admit are at most burst + rate x t. Tokens are
/// created only by the holders of leased quota slots, move between nodes in messages that are applied at most once, and
/// expire. docs/design/quota.md derives the bound and compares the strategies.
#pragma once

#include "board/Board.h"
#include "store/Store.h"

namespace Vanillaridge {

/// Settings that all nodes of a fleet share, whatever the configuration in force.
struct QuotaSettings {
    /// Quota slots of the fleet; each is one object in the store. Part of the objects' names.
    uint32_t slots { 64 };
    /// Slots that a client account spreads over if its burst allows it.
    uint32_t minimumSlotsPerAccount { 4 };
    /// Tokens per second that one slot creates for an account before the account spreads over further slots.
    double ratePerSlot { 200 };
    /// Term of a slot lease. Longer outlasts longer store outages; shorter replaces a crashed holder sooner.
    Duration leaseTerm { std::chrono::minutes(5) };
    /// Term of a slot lease under the "leased-owner" strategy.
    Duration ownerLeaseTerm { seconds(15) };
    /// Part of the term after which a holder renews.
    double renewalFraction { 1.0 / 3 };
    /// How long before the end of its term a holder stops.
    Duration safetyMargin { seconds(1) };
    /// Longest life of a token away from its slot.
    Duration tokenValidity { seconds(2) };
    /// Shortest life of a token that can still reach its requester.
    Duration minimumValidity { milliseconds(20) };
    /// Part of an account's burst that tokens away from their slots may take up.
    double validityShare { 0.1 };
    /// Largest relative error of any node's clock, in either direction.
    double clockDrift { 0.0005 };
    /// Longest time that a request waits for tokens on their way.
    Duration patience { milliseconds(250) };
    /// Least time that a pull is unanswered before its tokens are asked of another source as well: many times a round
    /// trip between zones. Where pulls take longer, because nodes lag, it is longer as well.
    Duration pullHedge { milliseconds(30) };
    /// How long a node waits for the answer to a pull.
    Duration pullTimeout { milliseconds(300) };
    /// Nodes that share an account's rate under the "static-split" strategy.
    uint32_t splitNodes { 16 };
    /// How long another member has to be the better holder of a slot before the slot is handed over.
    Duration handoverDelay { seconds(5) };
    /// How long after its start a node takes only the slots that its own earlier run held: it may not know all members
    /// yet, and would take slots that other members are preferred for.
    Duration joinDelay { milliseconds(2500) };
};

/// What is wrong with the settings, in words for the operator; nothing when they are sound.
std::optional<std::string> problemOf(const QuotaSettings&);
/// Why the account's rate and burst can't be served; nothing when they can. The check of a manifest calls this.
std::optional<std::string> problemOf(const ClientAccount&, const QuotaSettings&);
/// Names that a manifest may use for `Policy::quota`.
std::span<const std::string_view> quotaStrategyNames();

enum class QuotaAnswer : uint8_t {
    /// The request has a token.
    Admitted,
    /// There is no token for it.
    Refused,
    /// Tokens are on their way: the callback tells how it ends.
    Pending,
};

/// Why a request got no token.
enum class QuotaCause : uint8_t {
    None,
    /// The slots said that they have none.
    OutOfTokens,
    /// No slot's holder was known, or none answered in time.
    NoAnswer,
    /// Too many requests of the account wait here.
    QueueFull,
    /// The account is not declared, or has gone.
    NotDeclared,
    /// The node gives up its part in the quota.
    Stopping,
    Count,
};
std::string_view toText(QuotaCause);

/// What this node held of the account when it refused a request.
struct QuotaEvidence {
    QuotaCause cause { QuotaCause::None };
    double tokens { 0 };
    /// Tokens asked for and not answered yet.
    double pulled { 0 };
    /// Requests of the account that wait here, this one included if it has waited.
    size_t waiting { 0 };
    /// Time that this request has waited.
    Duration waited { 0 };
    /// Time until the slots may be asked again.
    Duration blocked { 0 };
};
/// One word for a log line; empty when there is nothing to explain.
std::string toText(const QuotaEvidence&);

/// What the quota says of one request.
struct QuotaDecision {
    QuotaAnswer answer { QuotaAnswer::Refused };
    /// With Refused: when a token is likely to be there, with jitter.
    Duration retryAfter { 0 };
    /// With Admitted: until when the token may be given back.
    Instant expires {};
    /// With Refused: why.
    QuotaEvidence evidence {};
    /// With Admitted: the pull and the slot that gave the token; no pull when it was put together from several.
    std::optional<uint64_t> pull {};
    uint32_t slot { 0 };
};

/// Called exactly once for a pending request, with Admitted or Refused, outside any lock, from whichever thread called
/// receive(), tick(), take() or release(). The request waits at most `patience` and one tick.
using QuotaCallback = std::function<void(const QuotaDecision&)>;

/// What a node pools of one account.
struct QuotaAccountStatus {
    AccountName account;
    double tokens { 0 };
    /// Smoothed requests per second that came in here.
    double demand { 0 };
    size_t waiting { 0 };
};

struct QuotaStatus {
    std::string strategy;
    std::vector<uint32_t> heldSlots;
    std::vector<QuotaAccountStatus> accounts;
};

/// The quota of one node. Any thread may call any function; none blocks, and none waits for another node: a request
/// that has to wait for tokens is kept as a callback.
class Quota {
public:
    /// Problems of the settings are to be reported before; see problemOf().
    Quota(Board&, Clock&, RandomSource&, ObjectStore&, const QuotaSettings&);
    /// Callbacks of requests that still wait are dropped; answers of the store that come later are ignored.
    ~Quota();

    /// Asks for one token. Without a callback a request never waits: what would be Pending is Refused.
    QuotaDecision take(std::string_view account, QuotaCallback whenDecided = {});
    /// Returns the token of a request that did not run: to the slot that gave it, from where any node may draw it,
    /// unless requests wait here or more are expected soon. A slot takes back what it gave within the last half second.
    void giveBack(std::string_view account, const QuotaDecision&);

    /// Another node asks for tokens.
    void receive(const Endpoint& from, const QuotaPull&);
    /// Tokens arrived, or the news that there are none.
    void receive(const Endpoint& from, const QuotaGrant&);
    /// A token comes back that the slot of this node gave.
    void receive(const Endpoint& from, const QuotaReturn&);

    /// Renews leases, pulls ahead of demand, ends waits and pulls that took too long. To be called about every 50 ms.
    void tick();
    /// Stops the use of all slots at once and frees them in the store, so that others may start without waiting.
    /// No slot is taken afterwards. Further ticks retry what the store did not take.
    void release();
    /// Whether release() has been called and no slot is left to free.
    bool released() const;

    /// Slots held now, in ascending order, for the membership to announce.
    std::vector<uint32_t> heldSlots() const;
    QuotaStatus status() const;

private:
    struct Parts;
    std::shared_ptr<Parts> m_parts;
};

} // namespace Vanillaridge
