// libraries: admission
#include "AdmissionGuard.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

using namespace Vanillaridge;

namespace {

constexpr double processorRate = 1000; // requests per second that the node's processor can handle
constexpr Duration step = milliseconds(1);
constexpr Duration work = milliseconds(50);
constexpr Duration lagPeriod = milliseconds(50);
// A request passes nodes about 20 times in the deployments served, and may lose a quarter of its 1.5 s to their lag.
constexpr Duration bearableLag = microseconds(18750);

// A backend server with free slots, local to a node whose processor is the bottleneck.
class LaggingNode : public Guard {
public:
    LaggingNode()
        : Guard(1000)
    {
    }

    // A value for each class, in the order of Importance.
    using ByClass = std::array<double, importanceCount>;

    // Sends requests at these rates for the given time. Requests shed at the entry never reach the node.
    void play(const ByClass& rates, Duration span)
    {
        sent = served = {};
        m_lagSum = Duration(0);
        m_lagSamples = 0;
        for (const auto end = clock.now() + span; clock.now() < end;) {
            clock.advance(step);
            for (size_t i = 0; i < rates.size(); ++i) {
                for (m_due[i] += rates[i] / 1000; m_due[i] >= 1; m_due[i] -= 1)
                    arrive(Importance(i));
            }
            process();
            finish();
            noteLagNow();
        }
    }

    double share(Importance importance) const
    {
        const auto i = static_cast<size_t>(importance);
        return sent[i] > 0 ? served[i] / sent[i] : 1;
    }

    double servedRate(Duration span) const
    {
        double sum = 0;
        for (const double count : served)
            sum += count;
        return sum / std::chrono::duration<double>(span).count();
    }

    Duration meanLag() const { return m_lagSum / std::max(1, m_lagSamples); }

    // Requests sent and served in the last run.
    ByClass sent {};
    ByClass served {};

private:
    void arrive(Importance importance)
    {
        ++sent[static_cast<size_t>(importance)];
        auto context = request(importance);
        if (sheddingHeight(context) < m_level)
            return;
        context.represents = 1 / survivalAt(Rank::of(importance), 1, m_level);
        m_unread.push_back(std::move(context));
    }

    void process()
    {
        for (m_credit += processorRate / 1000; m_credit >= 1; m_credit -= 1) {
            if (m_unread.empty())
                continue;
            const auto context = std::move(m_unread.front());
            m_unread.pop_front();
            if (offer(context) == AdmissionVerdict::Admitted)
                m_ends.emplace(clock.now() + work, context);
        }
    }

    void finish()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= clock.now()) {
            const auto context = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            admission.finished("history", context.attempt, CompletionStatus::Served);
            settle();
            m_level += (admission.feedback(context).shedLevel - m_level) / 2;
            ++served[static_cast<size_t>(context.rank.account)];
        }
    }

    void noteLagNow()
    {
        if (clock.now() < m_nextLag)
            return;
        m_nextLag = clock.now() + lagPeriod;
        const Duration lag(static_cast<Duration::rep>(double(m_unread.size()) / processorRate * 1e9));
        board.noteLag((7 * board.lag() + 3 * lag) / 10);
        m_lagSum += lag;
        ++m_lagSamples;
    }

    ByClass m_due {};
    double m_credit { 0 };
    double m_level { 0 };
    std::deque<RequestContext> m_unread;
    std::multimap<Instant, RequestContext> m_ends;
    Instant m_nextLag;
    Duration m_lagSum { 0 };
    int m_lagSamples { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeWithoutProcessorTimeToSpare, LaggingNode)

BOOST_AUTO_TEST_SUITE(WhenMoreIsAskedThanItCanPassOn)

BOOST_AUTO_TEST_CASE(ThenItSoonKeepsUpAgainAlthoughNobodySendsTheLeastImportantClass)
{
    const LaggingNode::ByClass rates { 450, 100, 900, 0 };
    play(rates, seconds(3));
    play(rates, seconds(10));
    BOOST_TEST((meanLag() < bearableLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(share(Importance::Critical) >= 0.98);
    BOOST_TEST(share(Importance::High) >= 0.95);
    BOOST_TEST(servedRate(seconds(10)) >= 0.9 * processorRate);
}

BOOST_AUTO_TEST_CASE(ThenTheLeastImportantAreShedFirst)
{
    play({ 300, 100, 300, 800 }, seconds(3));
    play({ 300, 100, 300, 800 }, seconds(10));
    BOOST_TEST((meanLag() < bearableLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(share(Importance::Low) < 0.5);
    BOOST_TEST(share(Importance::Normal) >= 0.95);
    BOOST_TEST(share(Importance::High) >= 0.95);
    BOOST_TEST(share(Importance::Critical) >= 0.98);
}

BOOST_AUTO_TEST_CASE(ThenTheMostImportantAreNotShedForItWhileTheyFit)
{
    const LaggingNode::ByClass rates { 900, 0, 800, 0 };
    play(rates, seconds(3));
    play(rates, seconds(10));
    BOOST_TEST(share(Importance::Critical) >= 0.99);
}

BOOST_AUTO_TEST_CASE(ThenASuddenLagShedsNoneOfTheMostImportantWhileTheyFit)
{
    play({ 500, 0, 0, 0 }, seconds(3));
    board.noteLag(seconds(5));
    const double level = admission.feedback(request(Importance::Critical)).shedLevel;
    BOOST_TEST(survivalAt(Rank::of(Importance::Critical), 1, level) == 1);
}

BOOST_AUTO_TEST_CASE(ThenTheMostImportantAreShedOnceTheyAloneAreMoreThanItCanPassOn)
{
    const LaggingNode::ByClass rates { 1500, 0, 0, 0 };
    play(rates, seconds(3));
    play(rates, seconds(10));
    BOOST_TEST((meanLag() < bearableLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(servedRate(seconds(10)) >= 0.9 * processorRate);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItCanPassOnWhatIsAsked)

BOOST_AUTO_TEST_CASE(ThenNothingIsShed)
{
    play({ 400, 100, 400, 0 }, seconds(10));
    BOOST_TEST(servedRate(seconds(10)) >= 890);
}

BOOST_AUTO_TEST_CASE(ThenItTakesAllAgainSoonAfterASurge)
{
    play({ 450, 100, 900, 0 }, seconds(5));
    play({ 200, 100, 300, 0 }, seconds(2));
    play({ 200, 100, 300, 0 }, seconds(2));
    BOOST_TEST(share(Importance::Normal) >= 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
