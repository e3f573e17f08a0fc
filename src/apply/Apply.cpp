#include "apply/Apply.h"

namespace Vanillaridge {

namespace {

    constexpr int mostTries = 5;
    constexpr Duration pauseBetweenTries = milliseconds(500);
    constexpr std::string_view authorMark = "# applied by ";

    // Splits a stored manifest into what was declared and who applied it.
    std::pair<std::string_view, std::string_view> withoutAuthor(std::string_view text)
    {
        const auto mark = text.rfind(authorMark);
        if (mark == std::string_view::npos || (mark && text[mark - 1] != '\n'))
            return { text, {} };
        const auto author = text.substr(mark + authorMark.size());
        return { text.substr(0, mark), author.substr(0, author.find('\n')) };
    }

    // The manifest with its author, each in lines of their own.
    std::string withAuthor(std::string_view manifest, std::string_view author)
    {
        std::string text(withoutAuthor(manifest).first);
        if (!text.ends_with('\n'))
            text += '\n';
        text.append(authorMark);
        for (const char character : author)
            text += character < ' ' ? '?' : character;
        return text + '\n';
    }

    // One update, from the first look at the platform to certainty or the last try.
    class Update {
    public:
        Update(ObjectAccess& access, std::string text)
            : m_access(access)
            , m_text(std::move(text))
        {
        }

        ApplyOutcome run(std::optional<uint64_t> expectedVersion)
        {
            const auto outcome = update(expectedVersion);
            if (outcome.end == ApplyEnd::Applied || outcome.end == ApplyEnd::Unchanged)
                tellHead(outcome.version);
            return outcome;
        }

    private:
        ApplyOutcome update(std::optional<uint64_t> expectedVersion)
        {
            // 1. What is there?
            const auto present = read();
            if (!present)
                return { ApplyEnd::NotApplied, 0, {} };
            if (isOurs(*present))
                return outcome(ApplyEnd::Unchanged, *present);
            m_expected = expectedVersion.value_or(present->version);

            // 2. Try until the platform says yes or no. Each try expects the same version, so that at most one of
            //    them can take effect.
            for (int i = 0; i < mostTries; ++i) {
                const auto result = m_access.put(manifestObject, m_text, m_expected);
                if (result)
                    return { ApplyEnd::Applied, result.value(), std::string(withoutAuthor(m_text).second) };
                if (const auto end = after(result.error()))
                    return *end;
                m_access.pause(pauseBetweenTries);
            }
            return { m_mayHaveArrived ? ApplyEnd::Unknown : ApplyEnd::NotApplied, present->version, {} };
        }

        // Nodes look at the head only, so it must name the new version. Where it can't be written the nodes that watch
        // find the manifest by themselves, later.
        void tellHead(uint64_t version)
        {
            for (int i = 0; i < mostTries; ++i) {
                const auto head = m_access.get(manifestHeadObject);
                const bool known = head || head.error() == PlatformError::NotFound;
                if (head && manifestHeadFromText(head.value().value).value_or(0) >= version)
                    return;
                const auto expected = head ? head.value().version : absentVersion;
                if (known && m_access.put(manifestHeadObject, manifestHeadText(version), expected))
                    return;
                m_access.pause(pauseBetweenTries);
            }
        }

        // What a failed try means; nothing when it should be tried again.
        std::optional<ApplyOutcome> after(PlatformError error)
        {
            if (error == PlatformError::Conflict)
                return whoWon();
            if (error != PlatformError::AnswerLost)
                return std::nullopt;
            m_mayHaveArrived = true;
            const auto present = read();
            if (present && isOurs(*present))
                return outcome(ApplyEnd::Applied, *present);
            return std::nullopt;
        }

        // Reads who got there first, which may be an earlier try of this very update. A read that still shows the
        // expected version is stale.
        ApplyOutcome whoWon()
        {
            for (int i = 0; i < mostTries; ++i) {
                const auto present = read();
                if (present && isOurs(*present))
                    return outcome(ApplyEnd::Applied, *present);
                if (present && present->version != m_expected)
                    return outcome(ApplyEnd::LostRace, *present);
                m_access.pause(pauseBetweenTries);
            }
            return { m_mayHaveArrived ? ApplyEnd::Unknown : ApplyEnd::LostRace, 0, {} };
        }

        // The manifest on the platform, with version 0 when there is none; nothing when it cannot be read.
        std::optional<StoredObject> read()
        {
            for (int i = 0; i < mostTries; ++i) {
                const auto result = m_access.get(manifestObject);
                if (result)
                    return result.value();
                if (result.error() == PlatformError::NotFound)
                    return StoredObject { std::string(manifestObject), absentVersion, {} };
                m_access.pause(pauseBetweenTries);
            }
            return std::nullopt;
        }

        bool isOurs(const StoredObject& object) const
        {
            return object.version != absentVersion && withoutAuthor(object.value).first == withoutAuthor(m_text).first;
        }

        static ApplyOutcome outcome(ApplyEnd end, const StoredObject& object)
        {
            return { end, object.version, std::string(withoutAuthor(object.value).second) };
        }

        ObjectAccess& m_access;
        const std::string m_text;
        uint64_t m_expected { absentVersion };
        bool m_mayHaveArrived { false };
    };

} // namespace

std::string_view toText(ApplyEnd end)
{
    constexpr std::array<std::string_view, 5> names { "applied", "unchanged", "lost-race", "not-applied", "unknown" };
    return names[static_cast<size_t>(end)];
}

ApplyOutcome applyManifest(
    ObjectAccess& access, std::string_view manifest, std::string_view author, std::optional<uint64_t> expectedVersion)
{
    return Update(access, withAuthor(manifest, author)).run(expectedVersion);
}

} // namespace Vanillaridge
