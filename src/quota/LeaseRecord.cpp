#include "quota/LeaseRecord.h"

#include <fmt/format.h>
#include <sstream>

namespace Vanillaridge {

std::string toText(const LeaseRecord& record)
{
    if (!record.held)
        return "free";
    const auto term = std::chrono::duration_cast<milliseconds>(record.term).count();
    return fmt::format("held {:x} {:x} {}", record.holder.value, record.nonce, term);
}

std::optional<LeaseRecord> leaseRecordFromText(std::string_view text)
{
    if (text == "free")
        return LeaseRecord {};
    std::istringstream in { std::string(text) };
    std::string word;
    LeaseRecord record { true, {}, 0, {} };
    milliseconds::rep term = 0;
    if (!(in >> word >> std::hex >> record.holder.value >> record.nonce >> std::dec >> term) || word != "held")
        return std::nullopt;
    if (term < 0 || !(in >> std::ws).eof())
        return std::nullopt;
    record.term = milliseconds(term);
    return record;
}

} // namespace Vanillaridge
