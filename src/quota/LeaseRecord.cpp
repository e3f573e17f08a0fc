#include "quota/LeaseRecord.h"

#include <fmt/format.h>
#include <sstream>

namespace Vanillaridge {

std::string toText(const LeaseRecord& record)
{
    if (!record.held)
        return "free";
    const auto term = std::chrono::ceil<milliseconds>(record.term).count();
    return fmt::format("held {} {:x} {:x} {:x}", term, record.holder.value, record.nonce, record.node.value);
}

std::optional<LeaseRecord> leaseRecordFromText(std::string_view text)
{
    if (text == "free")
        return LeaseRecord {};
    std::istringstream in { std::string(text) };
    std::string word;
    milliseconds::rep term = 0;
    LeaseRecord record { true, {}, {}, 0, {} };
    if (!(in >> word >> term >> std::hex >> record.holder.value >> record.nonce >> record.node.value) || word != "held"
        || term < 0)
        return std::nullopt;
    if (!(in >> std::ws).eof())
        return std::nullopt;
    record.term = milliseconds(term);
    return record;
}

} // namespace Vanillaridge
