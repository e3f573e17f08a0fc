/// Lets dissemination read manifests through the manifest library. Private to the node library.
#pragma once

#include "dissemination/Dissemination.h"
#include "manifest/Manifest.h"

namespace Vanillaridge {

class ManifestReader final : public ManifestCodec {
public:
    using Read = ManifestResult (*)(std::string_view text);
    explicit ManifestReader(Read read)
        : m_read(read)
    {
    }

    CheckedManifest check(std::string_view text) const override;
    CheckedManifest assemble(std::span<const ConfigurationSection>) const override;

private:
    Read m_read;
};

} // namespace Vanillaridge
