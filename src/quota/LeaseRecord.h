/// What the store's object of a quota slot says.
#pragma once

#include "core/Core.h"

namespace Vanillaridge {

/// The value of a slot's object: free, or held by one run of a node.
struct LeaseRecord {
    bool held { false };
    BootId holder;
    /// The node that this run is of: a later run of it knows that the earlier one has ended.
    NodeId node;
    /// Identity of the write, so that a holder recognises its own after a lost answer.
    uint64_t nonce { 0 };
    /// How long a taker has to see the object unchanged.
    Duration term { 0 };
    /// Era of the store in which this was written. A record of an earlier era than the object's comes from a backup,
    /// and may have been overwritten since.
    uint64_t era { 0 };
};

std::string toText(const LeaseRecord&);
/// Nothing when the text is malformed.
std::optional<LeaseRecord> leaseRecordFromText(std::string_view);

} // namespace Vanillaridge
