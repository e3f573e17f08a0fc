// The platform for a command that waits for each answer.
#pragma once

#include "apply/Apply.h"
#include "settings/Settings.h"

namespace Vanillaridge {

class PlatformSession final : public ObjectAccess {
public:
    explicit PlatformSession(const PlatformSettings&);
    ~PlatformSession() override;

    PlatformResult<StoredObject> get(std::string_view name) override;
    PlatformResult<uint64_t> put(std::string_view name, std::string_view value, uint64_t expectedVersion) override;
    void pause(Duration) override;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace Vanillaridge
