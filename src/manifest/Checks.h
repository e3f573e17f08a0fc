// Checks that look at several fields or tables of a manifest at once.
#pragma once

#include "manifest/Manifest.h"

namespace Vanillaridge {

// A row with the table that it was read from, for the places of its problems.
template <typename Row> struct ReadRow {
    Row row;
    TableReader table;
};

// Everything read from a manifest, before the checks across tables.
struct ReadManifest {
    std::vector<ReadRow<ClientAccount>> accounts;
    std::vector<ReadRow<Route>> routes;
    std::vector<ReadRow<Service>> services;
    Policy policy;
};

// Reports whatever is wrong between fields and between tables.
void checkAcross(const ReadManifest&, const TableReader& root);

} // namespace Vanillaridge
