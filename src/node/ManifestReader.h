/// Lets dissemination read manifests through the manifest library. Private to the node library.
#pragma once

#include "dissemination/Dissemination.h"

namespace Vanillaridge {

class ManifestReader final : public ManifestCodec {
public:
    CheckedManifest check(std::string_view text) const override;
    CheckedManifest assemble(std::span<const ConfigurationSection>) const override;
};

} // namespace Vanillaridge
