// libraries: manifest
#include "manifest/Fields.h"
#include "manifest/Manifest.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream file(std::string(VANILLARIDGE_EXAMPLES) + "/" + name);
    return { std::istreambuf_iterator<char>(file), {} };
}

const std::string smallManifest = R"([service.reports]
slots = 10
connections = 20
[account.north]
rate = 50
burst = 100
keys = ["sha256:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]
[route.read]
path = "/reports/*"
service = "reports"
)";

// The small manifest with one line replaced.
std::string with(std::string_view line, std::string_view instead)
{
    auto text = smallManifest;
    const auto found = text.find(line);
    BOOST_REQUIRE(found != std::string::npos);
    return text.replace(found, line.size(), instead);
}

// Whether some problem is at the line, and its text and advice contain the given words.
bool hasProblem(const ManifestResult& result, uint32_t line, std::string_view what, std::string_view instead)
{
    return std::any_of(result.problems().begin(), result.problems().end(), [&](const ManifestProblem& problem) {
        return problem.line == line && problem.what.find(what) != std::string::npos
            && problem.writeInstead.find(instead) != std::string::npos;
    });
}

bool refuses(std::string_view text, uint32_t line, std::string_view what, std::string_view instead)
{
    const auto result = checkManifest(text, "small.toml");
    for (const auto& problem : result.problems())
        BOOST_TEST_MESSAGE(toText(problem));
    return !result && hasProblem(result, line, what, instead);
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenTheExamples)

BOOST_AUTO_TEST_CASE(ThenBothAreAccepted)
{
    for (const auto* name : { "saeng-chai.toml", "altai.toml" }) {
        const auto result = checkManifest(readExample(name), name);
        for (const auto& problem : result.problems())
            BOOST_ERROR(toText(problem));
        BOOST_TEST(result.declarations().accounts.size() == 8u);
        BOOST_TEST(result.declarations().services.size() == 4u);
    }
}

BOOST_AUTO_TEST_CASE(ThenTheirSectionsMakeTheSameDeclarationsInAnyOrder)
{
    for (const auto* name : { "saeng-chai.toml", "altai.toml" }) {
        const auto declarations = checkManifest(readExample(name), name).declarations();
        auto sections = sectionsOf(declarations);
        const auto contentHash = contentHashOf(sections);
        std::reverse(sections.begin(), sections.end());
        const auto again = assembleSections(sections);
        BOOST_REQUIRE(again);
        BOOST_TEST((again.declarations() == declarations));
        BOOST_TEST(contentHashOf(sections) == contentHash);
    }
}

BOOST_AUTO_TEST_SUITE(WhenOneAccountChanges)

BOOST_AUTO_TEST_CASE(ThenOneSmallSectionChanges)
{
    auto text = readExample("altai.toml");
    const auto before = splitIntoSections(text);
    text.replace(text.find("rate = 1500"), 11, "rate = 1501");
    const auto after = splitIntoSections(text);
    BOOST_REQUIRE(before.size() == after.size());
    size_t changedBytes = 0;
    size_t changed = 0;
    for (size_t i = 0; i < before.size(); ++i) {
        if (before[i] == after[i])
            continue;
        ++changed;
        changedBytes += after[i].text.size();
        BOOST_TEST(after[i].name == "account/dispatch");
    }
    BOOST_TEST(changed == 1u);
    BOOST_TEST(changedBytes < 200u);
    BOOST_TEST(contentHashOf(before) != contentHashOf(after));
}

BOOST_AUTO_TEST_CASE(ThenASectionThatWasAlteredOnItsWayIsRefused)
{
    auto sections = splitIntoSections(smallManifest);
    sections[0].text += "# altered\n";
    BOOST_TEST(!assembleSections(sections));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenASmallManifest)

BOOST_AUTO_TEST_CASE(ThenItIsAcceptedWithItsDefaults)
{
    const auto result = checkManifest(smallManifest, "small.toml");
    BOOST_REQUIRE(result);
    BOOST_TEST(result.declarations().accounts[0].rate == 50);
    BOOST_TEST((result.declarations().routes[0].timeout == seconds(10)));
    BOOST_TEST(result.declarations().policy.quota == "conserved");
}

BOOST_AUTO_TEST_SUITE(WhenALineIsWrong)

BOOST_AUTO_TEST_CASE(ThenTheProblemNamesTheLineAndWhatToWrite)
{
    BOOST_TEST(refuses(with("slots = 10", "slotz = 10"), 2, "unknown name \"slotz\"", "slots"));
    BOOST_TEST(refuses(with("slots = 10", "slots = 0"), 2, "out of range", "from 1 to 100000"));
    BOOST_TEST(refuses(with("slots = 10", "slots = \"10\""), 2, "is a text", "whole number"));
    BOOST_TEST(refuses(with("slots = 10", "slots = 10\nqueue-limit = 5"), 3, "needs a duration", "\"5s\""));
    BOOST_TEST(refuses(with("slots = 10", "slots = 10\nqueue-limit = \"5 sec\""), 3, "needs a duration", "250ms"));
    BOOST_TEST(refuses(with("rate = 50", "rate = -1"), 5, "out of range", "from 0 to"));
    BOOST_TEST(refuses(with("rate = 50", "rate = nan"), 5, "out of range", "from 0 to"));
    BOOST_TEST(refuses(with("burst = 100", "burst = 4"), 6, "too small for rate", "burst = 5"));
    BOOST_TEST(refuses(with("sha256:0011", "sha256:001x"), 7, "no entry of \"keys\"", "64 hexadecimal digits"));
    BOOST_TEST(refuses(with("\"reports\"\n", "\"report\"\n"), 10, "unknown service \"report\"", "\"reports\""));
    BOOST_TEST(refuses(with("/reports/*", "reports"), 9, "begins with '/'", "/reports/*"));
    BOOST_TEST(refuses(with("[account.north]", "[acount.north]"), 4, "unknown name \"acount\"", "account"));
    BOOST_TEST(refuses(with("connections = 20", "connections = 9"), 3, "fewer connections", "connections = 10"));
    BOOST_TEST(refuses(with("slots = 10", "slots = = 10"), 2, "", "valid TOML"));
}

BOOST_AUTO_TEST_CASE(ThenAMissingFieldIsAProblemOfItsTable)
{
    BOOST_TEST(refuses(with("rate = 50\n", ""), 4, "missing \"rate\"", "rate = 50"));
    BOOST_TEST(refuses("", 1, "no service", "[service.NAME]"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTablesClash)

BOOST_AUTO_TEST_CASE(ThenTheLaterOneIsTheProblem)
{
    const auto keyStart = smallManifest.find("keys");
    const auto key = smallManifest.substr(keyStart, smallManifest.find("[route") - keyStart);
    BOOST_TEST(
        refuses(smallManifest + "[account.south]\nrate = 1\nburst = 1\n" + key, 14, "already belongs", "its own"));
    BOOST_TEST(refuses(smallManifest + "[route.same]\npath = \"/reports/*\"\nservice = \"reports\"\n", 12,
        "same host, method and path as route \"read\"", "different"));
    BOOST_TEST(refuses(smallManifest + "open = true\naccounts = [\"north\"]\n", 11, "open to all", "either"));
    BOOST_TEST(refuses(smallManifest + "accounts = [\"nort\"]\n", 11, "unknown account", "\"north\""));
    BOOST_TEST(refuses(smallManifest + "retries = 4\n", 11, "more retries", "retries = 3"));
    BOOST_TEST(refuses(smallManifest + "[route.read]\n", 11, "", ""));
}

BOOST_AUTO_TEST_CASE(ThenAllProblemsAreToldAtOnce)
{
    auto text = with("slots = 10", "slotz = 10");
    text.replace(text.find("rate = 50"), 9, "rate = \"fast\"");
    text.replace(text.find("\"reports\"\n"), 9, "\"report\"");
    BOOST_TEST(checkManifest(text, "small.toml").problems().size() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItIsMutatedOrCutShort)

BOOST_AUTO_TEST_CASE(ThenThereAreDeclarationsOrProblemsWithALine)
{
    const auto original = readExample("saeng-chai.toml");
    BOOST_TEST(rc::check("mutated manifests", [&] {
        auto text = original.substr(0, *rc::gen::inRange<size_t>(0, original.size() + 1));
        const auto changes = *rc::gen::container<std::vector<std::pair<size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, original.size()), rc::gen::arbitrary<char>()));
        for (const auto& [position, character] : changes) {
            if (position < text.size())
                text[position] = character;
        }
        const auto result = checkManifest(text, "mutated.toml");
        if (result) {
            const auto again = assembleSections(sectionsOf(result.declarations()));
            RC_ASSERT(bool(again));
            RC_ASSERT(again.declarations() == result.declarations());
            return;
        }
        for (const auto& problem : result.problems())
            RC_ASSERT(problem.line >= 1u && problem.column >= 1u && !problem.what.empty());
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenThePageOnConfiguration)

BOOST_AUTO_TEST_CASE(ThenItHasARowForEveryField)
{
    const auto page = readExample("../docs/CONFIGURATION.md");
    const auto check = [&](const auto& fields) {
        for (const auto& field : fields) {
            const auto row = "\n| `" + std::string(field.name) + "` |";
            BOOST_TEST(page.find(row) != std::string::npos, "no row for " << field.name);
        }
    };
    check(accountFields());
    check(routeFields());
    check(serviceFields());
    check(policyFields());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenGeneratedDeclarations)

BOOST_AUTO_TEST_CASE(ThenTheirSectionsReadBackTheSame)
{
    BOOST_TEST(rc::check("round trip of sections", [] {
        Declarations declarations;
        const auto count = *rc::gen::inRange<uint32_t>(1, 6);
        for (uint32_t i = 0; i < count; ++i) {
            const auto suffix = std::to_string(i);
            Service service;
            service.name = "s" + suffix;
            service.slots = *rc::gen::inRange<uint32_t>(1, 1000);
            service.connections = service.slots + *rc::gen::inRange<uint32_t>(0, 1000);
            service.queueLimit = Duration(*rc::gen::inRange<int64_t>(0, 60'000'000'000));
            declarations.services.push_back(service);
            ClientAccount account;
            account.name = "a" + suffix;
            account.rate = *rc::gen::inRange(1, 100'000'000) / 1000.0;
            account.burst = 1 + account.rate;
            account.keys = { digestOfKey(suffix) };
            declarations.accounts.push_back(account);
            Route route;
            route.name = "r" + suffix;
            route.path = "/" + suffix + "/*";
            route.service = "s" + suffix;
            route.importance = Importance(*rc::gen::inRange(0, int(importanceCount)));
            route.idempotent = *rc::gen::arbitrary<bool>();
            route.open = *rc::gen::arbitrary<bool>();
            if (!route.open)
                route.accounts = { "a" + suffix };
            route.bodyLimit = *rc::gen::inRange<uint64_t>(0, uint64_t(1) << 36);
            declarations.routes.push_back(route);
        }
        const auto again = assembleSections(sectionsOf(declarations));
        for (const auto& problem : again.problems())
            RC_LOG(toText(problem));
        RC_ASSERT(bool(again));
        RC_ASSERT(again.declarations() == declarations);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
