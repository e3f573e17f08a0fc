/// Tokens of each account at this node, the pulls that fetch more, and the requests that wait for them.
#pragma once

#include "quota/HolderDirectory.h"
#include "quota/Slots.h"

#include <deque>

namespace Vanillaridge {

/// Spends tokens, pulls further ones from slots or from the account's home, and passes them on where it is the home.
///
/// A pull's number is never used twice and its answer is applied at most once, so tokens can get lost on the way but
/// not multiply. They expire a fixed time after the pull was sent, by this node's own clock.
class Pools {
public:
    using PlansPointer = std::shared_ptr<const QuotaPlans>;
    using HolderDirectoryPointer = std::shared_ptr<const HolderDirectory>;

    Pools(Board&, Clock&, RandomSource&, const QuotaSettings&, Slots&);

    /// What the pools go by from now on.
    void adopt(PlansPointer, HolderDirectoryPointer);

    QuotaDecision take(std::string_view account, QuotaCallback);
    void giveBack(std::string_view account, const QuotaDecision&);
    void receive(const Endpoint& from, const QuotaPull&);
    void receive(const QuotaGrant&);
    void receive(const QuotaReturn&);
    /// Ends what took too long, and pulls ahead of demand.
    void tick();
    /// Refuses every waiting request.
    void refuseWaiting();
    std::vector<QuotaAccountStatus> status();

private:
    /// When to ask again a source that did not answer.
    static constexpr Duration unreachableRetry = seconds(1);

    struct Batch {
        double tokens { 0 };
        Instant expires;
        /// The pull and the slot that it came from.
        uint64_t pull { 0 };
        uint32_t slot { 0 };
    };

    /// Tokens of one pull that went back to their slot.
    struct Returned {
        uint64_t pull { 0 };
        double total { 0 };
        Instant at;
    };

    /// A pull under way.
    struct Pull {
        uint64_t number { 0 };
        uint32_t index { 0 };
        double wanted { 0 };
        Instant sentAt;
        /// Whether it has been unanswered for so long that its tokens are not counted on.
        bool late { false };
    };

    /// What one source of tokens, a slot or the home, answered last.
    struct Source {
        Instant notBefore { Instant::min() };
        /// Tokens that it had left when it gave too few.
        double left { 0 };
    };

    /// A request of this node, or a pull of another one.
    struct Waiter {
        double wanted { 1 };
        Instant since;
        Instant until;
        /// Where to put the decision while the request is still in take().
        QuotaDecision* immediate { nullptr };
        QuotaCallback callback;
        /// Who pulls, if it is another node.
        Endpoint from;
        uint64_t pull { 0 };
    };

    /// Requests per second, smoothed over a short and over a long time. The lower of the two neither mistakes a burst
    /// for lasting demand nor lags when demand ends.
    struct Demand {
        double fast { 0 };
        double slow { 0 };
        Instant at { Instant::min() };
        void add(double requests, Instant now);
        double perSecond() const { return std::min(fast, slow); }
    };

    struct Pool {
        AccountName account;
        QuotaPlan plan;
        uint64_t generation { 0 };
        /// Soonest to expire first.
        std::vector<Batch> batches;
        std::vector<Pull> pulls;
        std::deque<Waiter> waiters;
        std::vector<Source> sources;
        std::vector<Returned> returned;
        uint32_t nextIndex { 0 };
        /// Sources asked in vain since one gave what was wanted.
        uint32_t misses { 0 };
        /// Whether a source said so itself, and was not just unknown.
        bool answeredInVain { false };
        /// Whether the last round of sources asked in vain ended because tokens are short.
        bool outOfTokens { false };
        Instant blockedUntil { Instant::min() };
        Demand demand;
        /// Whether tick() has this account on its list.
        bool listed { false };

        double tokens() const;
        double pulled() const;
        double waiting() const;
    };

    /// What has to be done after the pool's lock is released.
    struct Effects {
        std::vector<OutgoingMessage> messages;
        std::vector<std::pair<QuotaCallback, QuotaDecision>> decisions;
        bool listAccount { false };
    };

    template <typename Use> bool withPool(const AccountName&, Use&&);
    bool refresh(Pool&, const AccountName&);
    QuotaDecision takeFrom(Pool&, QuotaCallback&&, Effects&);
    QuotaDecision queue(Pool&, QuotaCallback&&, Instant now, Effects&);
    void settle(Pool&, Instant now, Effects&);
    bool serveFirst(Pool&, Instant now, Effects&);
    void decide(Waiter&, const QuotaDecision&, Effects&);
    void refuse(Pool&, Waiter&, QuotaCause, Instant now, Effects&);
    void refuseAll(Pool&, QuotaCause, Instant now, Effects&);
    QuotaDecision refusal(const Pool&, QuotaCause, Instant since, Instant now);
    Duration retryAfter(const Pool&, Instant now);

    QuotaGrant answerFromSlot(const QuotaPull&);
    double shortfall(const Pool&) const;
    bool pullOnce(Pool&, Instant now, Effects&);
    bool pullFromHome(Pool&, const Endpoint& home, double amount, Instant now, Effects&);
    bool pullFromSlot(Pool&, uint32_t index, double amount, double least, Instant now, Effects&);
    bool collect(Pool&, Instant now, Effects&);
    std::optional<uint32_t> nextSource(const Pool&, Instant now) const;
    Endpoint holderOf(uint32_t slot);
    void send(Pool&, const Endpoint& to, uint32_t slot, const Pull&, double least, Effects&);
    void noteResult(Pool&, uint32_t index, double wanted, const QuotaDraw&, Instant now);
    void noteUnknownHolder(Pool&, uint32_t index, Instant now);
    void noteMiss(Pool&, Instant until, Instant now);
    static bool isOutOfTokens(const Pool&, Instant now);
    static void block(Pool&, Instant until);
    void list(Pool&, Effects&);

    void addTokens(Pool&, const Batch&);
    /// What was spent: when the first of it expires, and where it came from if that was one pull.
    struct Spent {
        Instant expires;
        std::optional<uint64_t> pull;
        uint32_t slot { 0 };
    };
    std::optional<Spent> spend(Pool&, double tokens);
    bool giveBackToSlot(Pool&, const QuotaDecision&, Instant now, Effects&);
    static bool expectsRequestBefore(const Pool&, Instant expires, Instant now);
    void expire(Pool&, Instant now);
    void endWaits(Pool&, Instant now, Effects&);
    void endPulls(Pool&, Instant now);
    void hedgePulls(Pool&, Instant now);
    void noteRoundTrip(Duration);
    Duration hedgeAfter();
    void sweep(Instant now);
    void finish(const AccountName&, Effects&);
    PlansPointer plans();
    HolderDirectoryPointer directory();

    Board& m_board;
    Clock& m_clock;
    RandomSource& m_random;
    const QuotaSettings& m_settings;
    Slots& m_slots;
    std::atomic<uint64_t> m_nextPull;
    std::atomic<uint64_t> m_generation { 0 };
    std::mutex m_lock;
    PlansPointer m_plans;
    HolderDirectoryPointer m_directory;
    /// Accounts with requests that wait or pulls under way.
    std::vector<AccountName> m_listed;
    Instant m_sweptAt { Instant::min() };
    // Of pulls that were answered, in nanoseconds.
    double m_roundTrip { 0 };
    double m_roundTripDeviation { 0 };
    Sharded<AccountName, Pool> m_pools;
};

} // namespace Vanillaridge
