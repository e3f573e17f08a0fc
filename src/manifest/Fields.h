// What may stand in a manifest: one table of fields for each kind of section.
#pragma once

#include "manifest/Manifest.h"

namespace Vanillaridge {

std::span<const Field<ClientAccount>> accountFields();
std::span<const Field<Route>> routeFields();
std::span<const Field<Service>> serviceFields();
std::span<const Field<Policy>> policyFields();

} // namespace Vanillaridge
