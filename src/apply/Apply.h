/// Puts a checked manifest on the platform by conditional update, and finds out what became of it.
///
/// Of several operators who race, one wins and the others are told who. An answer that is lost after its effect is
/// resolved by reading back. Nothing here knows how the platform is reached.
#pragma once

#include "platform/Platform.h"

namespace Vanillaridge {

/// The platform as somebody sees it who waits for each answer.
class ObjectAccess {
public:
    virtual ~ObjectAccess() = default;
    virtual PlatformResult<StoredObject> get(std::string_view name) = 0;
    virtual PlatformResult<uint64_t> put(std::string_view name, std::string_view value, uint64_t expectedVersion) = 0;
    /// Waits between two tries.
    virtual void pause(Duration) = 0;
};

/// How an update ended.
enum class ApplyEnd : uint8_t {
    /// The manifest is on the platform now.
    Applied,
    /// The same manifest was there already.
    Unchanged,
    /// Somebody else's manifest is there instead.
    LostRace,
    /// Nothing was changed: the platform could not be reached.
    NotApplied,
    /// The update may have taken effect, and could not be read back.
    Unknown,
};
std::string_view toText(ApplyEnd);

struct ApplyOutcome {
    ApplyEnd end { ApplyEnd::NotApplied };
    /// Version of the manifest on the platform, as last seen; 0 when none was.
    uint64_t version { 0 };
    /// Who put the manifest there that is there now; empty when it does not say.
    std::string author;
};

/// Updates the manifest if it is at the expected version, or at the one read first when none is given. The author's
/// name goes into a comment at the end of the manifest.
ApplyOutcome applyManifest(ObjectAccess&, std::string_view manifest, std::string_view author,
    std::optional<uint64_t> expectedVersion = std::nullopt);

} // namespace Vanillaridge
