// libraries: settings
#include "settings/Fields.h"
#include "settings/Settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>

using namespace Vanillaridge;

namespace {

const std::string exampleFile = std::string(VANILLARIDGE_EXAMPLES) + "/node.toml";

std::string readExample()
{
    std::ifstream file(exampleFile);
    return { std::istreambuf_iterator<char>(file), {} };
}

// Checks the example with one piece of it replaced; tells whether a problem has the given words.
bool refuses(std::string_view piece, std::string_view instead, std::string_view what, std::string_view advice)
{
    auto text = readExample();
    const auto found = text.find(piece);
    BOOST_REQUIRE(found != std::string::npos);
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<ptrdiff_t>(found), '\n');
    text.replace(found, piece.size(), instead);
    const auto result = checkSettings(text, "node.toml", VANILLARIDGE_EXAMPLES);
    for (const auto& problem : result.problems())
        BOOST_TEST_MESSAGE(toText(problem));
    return std::any_of(result.problems().begin(), result.problems().end(), [&](const Problem& problem) {
        return (problem.line == line || problem.line == line + 1 || problem.line == 1)
            && problem.what.find(what) != std::string::npos && problem.writeInstead.find(advice) != std::string::npos;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(GivenTheExampleSettings)

BOOST_AUTO_TEST_CASE(ThenTheyAreAccepted)
{
    const auto result = loadSettings(exampleFile);
    for (const auto& problem : result.problems())
        BOOST_ERROR(toText(problem));
    BOOST_REQUIRE(result);
    BOOST_TEST(result.value().addresses.peers == "127.0.0.1:7000");
    BOOST_TEST(result.value().limits.headSize == 16384u);
    BOOST_TEST(result.value().store.manifest == std::string(VANILLARIDGE_EXAMPLES) + "/saeng-chai.toml");
}

BOOST_AUTO_TEST_SUITE(WhenAFieldIsWrong)

BOOST_AUTO_TEST_CASE(ThenTheProblemTellsWhatToWrite)
{
    BOOST_TEST(refuses("zone = \"a\"", "zoen = \"a\"", "unknown name \"zoen\"", "zone"));
    BOOST_TEST(refuses("\"127.0.0.1:7000\"", "\"localhost:7000\"", "no address and port", "peers ="));
    BOOST_TEST(refuses("\"127.0.0.1:7000\"", "\"0.0.0.0:7000\"", "cannot connect", "peers ="));
    BOOST_TEST(refuses("\"127.0.0.1:7000\"", "\"127.0.0.1:70000\"", "no address and port", "peers ="));
    BOOST_TEST(refuses("\"127.0.0.1:8081\"", "\"10.0.0.5:8081\"", "over loopback or at the host of", "127.0.0.1"));
    BOOST_TEST(refuses("\"127.0.0.1:8082\"", "\"127.0.0.1:8080\"", "same address as \"callers\"", "port of its own"));
    BOOST_TEST(refuses("contacts = []", "contacts = [\"other\"]", "no address and port", "peers address"));
    BOOST_TEST(refuses("\"16KiB\"", "16384", "needs a size", "\"16384B\""));
    BOOST_TEST(refuses("\"60s\"", "\"60 seconds\"", "needs a duration", "250ms"));
    BOOST_TEST(refuses("\"info\"", "\"loud\"", "no value of \"log-level\"", "\"debug\""));
    BOOST_TEST(refuses("change-me-before-use", "short", "5 characters", "16 to"));
    BOOST_TEST(refuses("manifest = \"saeng-chai.toml\"", "address = \"store:9000\"", "no address", "10.0.0.1:9000"));
}

BOOST_AUTO_TEST_CASE(ThenFieldsThatClashAreToldTogether)
{
    BOOST_TEST(refuses("[store]", "[store]\naddress = \"10.0.0.1:9000\"", "one place", "either address"));
    BOOST_TEST(refuses("[secret]", "[secret]\nfile = \"secret.txt\"", "one place", "either text"));
    BOOST_TEST(refuses("[limits]", "[quota]\nlease-margin = \"9m\"\n[limits]", "more than half", "\"75s\""));
    BOOST_TEST(refuses("[limits]", "[membership]\nprobe-timeout = \"2s\"\n[limits]", "within its period", "probe"));
    BOOST_TEST(refuses("[node]", "[nodes]", "missing table [node]", "zone"));
}

BOOST_AUTO_TEST_CASE(ThenAMissingFileIsAProblemToo)
{
    BOOST_TEST(refuses("text = \"change-me-before-use\"", "file = \"absent.txt\"", "cannot be opened", "may read"));
    const auto result = loadSettings("absent.toml");
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.problems()[0].what == "cannot be opened");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyAreMutatedOrCutShort)

BOOST_AUTO_TEST_CASE(ThenThereAreSettingsOrProblemsWithALine)
{
    const auto original = readExample();
    BOOST_TEST(rc::check("mutated settings", [&] {
        auto text = original.substr(0, *rc::gen::inRange<size_t>(0, original.size() + 1));
        const auto changes = *rc::gen::container<std::vector<std::pair<size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, original.size()), rc::gen::arbitrary<char>()));
        for (const auto& [position, character] : changes) {
            if (position < text.size())
                text[position] = character;
        }
        const auto result = checkSettings(text, "mutated.toml", VANILLARIDGE_EXAMPLES);
        for (const auto& problem : result.problems())
            RC_ASSERT(problem.line >= 1u && problem.column >= 1u && !problem.what.empty());
        if (result)
            RC_ASSERT(!result.value().zone.empty() && splitEndpoint(result.value().addresses.peers).has_value());
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenThePageOnConfiguration)

BOOST_AUTO_TEST_CASE(ThenItHasARowForEveryField)
{
    std::ifstream file(std::string(VANILLARIDGE_EXAMPLES) + "/../docs/CONFIGURATION.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    const auto check = [&](const auto& fields) {
        for (const auto& field : fields) {
            const auto row = "\n| `" + std::string(field.name) + "` |";
            BOOST_TEST(page.find(row) != std::string::npos, "no row for " << field.name);
        }
    };
    check(addressFields());
    check(nodeFields());
    check(secretFields());
    check(storeFields());
    check(logFields());
    check(limitFields());
    check(quotaFields());
    check(membershipFields());
}

BOOST_AUTO_TEST_SUITE_END()
