// libraries: admission
#include "AdmissionGuard.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

using namespace Vanillaridge;

namespace {

constexpr double processorRate = 1000; // requests per second that the node's processor can handle
constexpr Duration step = milliseconds(1);
constexpr Duration serviceTime = milliseconds(50);
constexpr Duration lagSampleInterval = milliseconds(50);
// A request passes nodes about 20 times in the deployments served, and may lose a quarter of its 1.5 s to their lag.
constexpr Duration maximumMeanLag = microseconds(18750);

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
    void simulate(const ByClass& rates, Duration span)
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
            processUnread();
            completeDueRequests();
            sampleLag();
        }
    }

    double servedShare(Importance importance) const
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
        if (sheddingHeight(context) < m_shedLevel)
            return;
        context.represents = 1 / survivalAt(Rank::of(importance), 1, m_shedLevel);
        m_unread.push_back(std::move(context));
    }

    void processUnread()
    {
        for (m_processorCredit += processorRate / 1000; m_processorCredit >= 1; m_processorCredit -= 1) {
            if (m_unread.empty())
                continue;
            const auto context = std::move(m_unread.front());
            m_unread.pop_front();
            if (offer(context) == AdmissionVerdict::Admitted)
                m_completions.emplace(clock.now() + serviceTime, context);
        }
    }

    void completeDueRequests()
    {
        while (!m_completions.empty() && m_completions.begin()->first <= clock.now()) {
            const auto context = m_completions.begin()->second;
            m_completions.erase(m_completions.begin());
            admission.finished("history", context.attempt, CompletionStatus::Served);
            settle();
            m_shedLevel += (admission.feedback(context).shedLevel - m_shedLevel) / 2;
            ++served[static_cast<size_t>(context.rank.account)];
        }
    }

    void sampleLag()
    {
        if (clock.now() < m_nextLagSample)
            return;
        m_nextLagSample = clock.now() + lagSampleInterval;
        const Duration lag(static_cast<Duration::rep>(double(m_unread.size()) / processorRate * 1e9));
        board.noteLag((7 * board.lag() + 3 * lag) / 10);
        m_lagSum += lag;
        ++m_lagSamples;
    }

    ByClass m_due {};
    double m_processorCredit { 0 };
    double m_shedLevel { 0 };
    std::deque<RequestContext> m_unread;
    std::multimap<Instant, RequestContext> m_completions;
    Instant m_nextLagSample;
    Duration m_lagSum { 0 };
    int m_lagSamples { 0 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GivenANodeWithoutProcessorTimeToSpare, LaggingNode)

BOOST_AUTO_TEST_SUITE(WhenMoreRequestsArriveThanItCanForward)

BOOST_AUTO_TEST_CASE(ThenItSoonKeepsUpAgainAlthoughNobodySendsTheLeastImportantClass)
{
    const LaggingNode::ByClass rates { 450, 100, 900, 0 };
    simulate(rates, seconds(3));
    simulate(rates, seconds(10));
    BOOST_TEST((meanLag() < maximumMeanLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(servedShare(Importance::Critical) >= 0.98);
    BOOST_TEST(servedShare(Importance::High) >= 0.95);
    BOOST_TEST(servedRate(seconds(10)) >= 0.9 * processorRate);
}

BOOST_AUTO_TEST_CASE(ThenTheLeastImportantAreShedFirst)
{
    simulate({ 300, 100, 300, 800 }, seconds(3));
    simulate({ 300, 100, 300, 800 }, seconds(10));
    BOOST_TEST((meanLag() < maximumMeanLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(servedShare(Importance::Low) < 0.5);
    BOOST_TEST(servedShare(Importance::Normal) >= 0.95);
    BOOST_TEST(servedShare(Importance::High) >= 0.95);
    BOOST_TEST(servedShare(Importance::Critical) >= 0.98);
}

BOOST_AUTO_TEST_CASE(ThenTheMostImportantAreNotShedForItWhileTheyFit)
{
    const LaggingNode::ByClass rates { 900, 0, 800, 0 };
    simulate(rates, seconds(3));
    simulate(rates, seconds(10));
    BOOST_TEST(servedShare(Importance::Critical) >= 0.99);
}

BOOST_AUTO_TEST_CASE(ThenASuddenLagShedsNoneOfTheMostImportantWhileTheyFit)
{
    simulate({ 500, 0, 0, 0 }, seconds(3));
    board.noteLag(seconds(5));
    const double level = admission.feedback(request(Importance::Critical)).shedLevel;
    BOOST_TEST(survivalAt(Rank::of(Importance::Critical), 1, level) == 1);
}

BOOST_AUTO_TEST_CASE(ThenTheMostImportantAreShedOnceTheyAloneAreMoreThanItCanPassOn)
{
    const LaggingNode::ByClass rates { 1500, 0, 0, 0 };
    simulate(rates, seconds(3));
    simulate(rates, seconds(10));
    BOOST_TEST((meanLag() < maximumMeanLag), "mean lag " << meanLag().count() / 1000 << " us");
    BOOST_TEST(servedRate(seconds(10)) >= 0.9 * processorRate);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItCanForwardAllRequests)

BOOST_AUTO_TEST_CASE(ThenNothingIsShed)
{
    simulate({ 400, 100, 400, 0 }, seconds(10));
    BOOST_TEST(servedRate(seconds(10)) >= 890);
}

BOOST_AUTO_TEST_CASE(ThenItAdmitsAllAgainSoonAfterASurge)
{
    simulate({ 450, 100, 900, 0 }, seconds(5));
    simulate({ 200, 100, 300, 0 }, seconds(2));
    simulate({ 200, 100, 300, 0 }, seconds(2));
    BOOST_TEST(servedShare(Importance::Normal) >= 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
