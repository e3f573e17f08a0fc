/// The guards' side of the fleet in memory: what they read, and what their backend servers do.
#pragma once

#include "TruthParts.h"

namespace Vanillaridge {

using namespace Truth;

class TruthGuards {
public:
    /// How often a request was started by any backend server.
    int starts(const RequestId& request) const
    {
        const auto found = m_starts.find(request);
        return found == m_starts.end() ? 0 : found->second;
    }

protected:
    static constexpr size_t nodeCount = 2;

    void receiveAtGuard(Link& link)
    {
        if (link.toGuard.empty())
            return;
        auto parcel = std::move(link.toGuard.front());
        link.toGuard.pop_front();
        auto& guard = m_guards[link.guard];
        if (!link.guardOpen)
            return;
        if (!parcel.message) {
            link.guardOpen = false;
            std::erase_if(guard.waiting, [&](const Job& job) {
                return job.link == &link && guard.ledger->cancel(job.attempt) == VerdictKind::NotStarted;
            });
        } else if (const auto* hello = std::get_if<Hello>(&*parcel.message)) {
            link.entryHello = *hello;
            link.challengedAt = guard.clock.now();
            reply(link, 0, guard.hello);
        } else if (const auto* ready = std::get_if<Ready>(&*parcel.message)) {
            link.entryClock.emplace(link.challengedAt, guard.clock.now(), ready->sentAt);
        } else if (const auto* open = std::get_if<OpenRequest>(&*parcel.message)) {
            receiveOpen(link, parcel.stream, *open);
        } else if (const auto* query = std::get_if<VerdictQuery>(&*parcel.message)) {
            reply(link, 0, guard.ledger->verdict(*query, link.entryHello, *link.entryClock));
        }
    }

    void receiveOpen(Link& link, uint64_t stream, const OpenRequest& open)
    {
        auto& guard = m_guards[link.guard];
        const auto reason = guard.ledger->accept(open, link.entryHello, *link.entryClock);
        const Job job { open.context.attempt, &link, stream };
        if (reason == Reason::None)
            guard.waiting.push_back(job);
        else if (reason != Reason::Duplicate)
            sendRefusal(guard, job, reason, false);
    }

    void reply(Link& link, uint64_t stream, StreamMessage message)
    {
        if (link.guardOpen)
            link.toEntry.push_back({ stream, std::move(message) });
    }

    void sendRefusal(Guard& guard, const Job& job, Reason reason, bool started)
    {
        reply(*job.link, job.stream, Refusal { job.attempt, guard.hello.boot, reason, started, {}, {}, 0 });
    }

    // Runs `use` on a job of one of the lists, taken out of it.
    template <typename Use> void withJob(const Step& step, std::vector<Job> Guard::*jobs, Use&& use)
    {
        auto& guard = m_guards[step.who % nodeCount];
        auto& list = guard.*jobs;
        if (guard.frozen || list.empty())
            return;
        const auto chosen = list.begin() + static_cast<ptrdiff_t>(step.detail % list.size());
        const Job job = *chosen;
        list.erase(chosen);
        use(guard, job);
    }

    void start(const Step& step)
    {
        withJob(step, &Guard::waiting, [&](Guard& guard, const Job& job) {
            if (guard.ledger->start(job.attempt)) {
                ++m_starts[job.attempt.request];
                guard.running.push_back(job);
                return;
            }
            const bool started = guard.ledger->bar(job.attempt) != VerdictKind::NotStarted;
            sendRefusal(guard, job, Reason::DeadlineExceeded, started);
        });
    }

    void answer(const Step& step)
    {
        withJob(step, &Guard::running, [&](Guard& guard, const Job& job) {
            guard.ledger->finish(job.attempt);
            const auto text = toText(job.attempt.request);
            reply(*job.link, job.stream, AnswerHead { job.attempt, guard.hello.boot, 200, {}, true, {}, 0 });
            reply(*job.link, job.stream, BodyChunk { text.substr(0, text.size() / 2), false });
            reply(*job.link, job.stream, BodyChunk { text.substr(text.size() / 2), true });
        });
    }

    void cross(const Step& step)
    {
        auto& running = m_guards[step.who % nodeCount].running;
        for (size_t i = 1; i < running.size(); ++i) {
            if (running[i].link == running[0].link)
                return std::swap(running[i].stream, running[0].stream);
        }
    }

    void failBackend(const Step& step)
    {
        withJob(step, &Guard::running, [&](Guard& guard, const Job& job) {
            guard.ledger->finish(job.attempt);
            sendRefusal(guard, job, Reason::ConnectionLost, true);
        });
    }

    void refuse(const Step& step)
    {
        withJob(step, &Guard::waiting, [&](Guard& guard, const Job& job) {
            const bool started = guard.ledger->bar(job.attempt) != VerdictKind::NotStarted;
            sendRefusal(guard, job, Reason::Draining, started);
        });
    }

    // Runs `use` on one of the links for which `test` holds.
    template <typename Test, typename Use> void withLink(const Step& step, Test&& test, Use&& use)
    {
        std::vector<Link*> found;
        for (auto& link : m_links) {
            if (test(*link))
                found.push_back(link.get());
        }
        if (!found.empty())
            use(*found[step.who % found.size()]);
    }

    std::array<Guard, nodeCount> m_guards;
    std::vector<std::unique_ptr<Link>> m_links;
    std::unordered_map<RequestId, int> m_starts;
};

} // namespace Vanillaridge
