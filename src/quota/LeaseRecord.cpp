#include "quota/LeaseRecord.h"

#include <fmt/format.h>
#include <sstream>

namespace Vanillaridge {

std::string toText(const LeaseRecord& record)
{
    if (!record.held)
        return fmt::format("free {}", record.era);
    const auto term = std::chrono::ceil<milliseconds>(record.term).count();
    return fmt::format(
        "held {} {:x} {:x} {:x} {:x}", term, record.holder.value, record.nonce, record.node.value, record.era);
}

std::optional<LeaseRecord> leaseRecordFromText(std::string_view text)
{
    std::istringstream in { std::string(text) };
    std::string word;
    LeaseRecord record;
    milliseconds::rep term = 0;
    in >> word;
    record.held = word == "held";
    if (!record.held && word != "free")
        return std::nullopt;
    if (record.held) {
        in >> term >> std::hex >> record.holder.value >> record.nonce >> record.node.value;
        if (!in || term < 0)
            return std::nullopt;
    }
    // Records of earlier versions of this program end here.
    if (!(in >> std::ws).eof())
        in >> record.era >> std::ws;
    if (!in.eof())
        return std::nullopt;
    record.term = milliseconds(term);
    return record;
}

} // namespace Vanillaridge
