// What may stand in a settings file: one table of fields for each of its tables.
#pragma once

#include "settings/Settings.h"

namespace Vanillaridge {

// The [secret] table: exactly one of the two.
struct SecretSource {
    std::string text;
    std::string file;
};

std::span<const Field<AddressSettings>> addressFields();
std::span<const Field<Settings>> nodeFields();
std::span<const Field<LogLimits>> logFields();
std::span<const Field<SecretSource>> secretFields();
std::span<const Field<StoreSettings>> storeFields();
std::span<const Field<LimitSettings>> limitFields();
std::span<const Field<QuotaSettings>> quotaFields();
std::span<const Field<MembershipSettings>> membershipFields();

} // namespace Vanillaridge
