/// The platform's object API as controllers see it: named values with versions, conditional updates and watches.
///
/// The interface says nothing of transport; the platformclient library speaks HTTP behind it, and tests put a fake in
/// its place. Calls never block: each calls back exactly once, from any thread, also when it fails.
#pragma once

#include "core/Core.h"

namespace Vanillaridge {

/// A value as the platform holds it.
struct StoredObject {
    std::string name;
    /// Given by the platform; grows with every change of this object and is never 0.
    uint64_t version { 0 };
    std::string value;
};

/// Why a call gave no result.
enum class PlatformError : uint8_t {
    /// No connection, or it was refused: the call had no effect.
    Unreachable,
    /// No answer came: a change may have taken effect, and must be read back.
    AnswerLost,
    /// The object was not at the expected version.
    Conflict,
    NotFound,
    /// The platform, or this node's own limit on calls, asks for fewer calls: no effect.
    TooManyCalls,
    /// The answer could not be understood.
    Malformed,
};
std::string_view toText(PlatformError);

/// What a call returns: a value, or why there is none.
template <typename Value> class PlatformResult {
public:
    PlatformResult(Value value)
        : m_value(std::move(value))
    {
    }
    PlatformResult(PlatformError error)
        : m_error(error)
    {
    }

    explicit operator bool() const { return m_value.has_value(); }
    const Value& value() const { return *m_value; }
    PlatformError error() const { return m_error; }

private:
    std::optional<Value> m_value;
    PlatformError m_error { PlatformError::Malformed };
};

/// Version to expect of an object that does not exist yet.
constexpr uint64_t absentVersion = 0;

/// Name of the object that holds the manifest, as operators wrote it.
constexpr std::string_view manifestObject = "manifest";
/// Name of the object that holds the version of the manifest as decimal digits. Whoever writes the manifest writes the
/// head after it, and is done only then.
constexpr std::string_view manifestHeadObject = "manifest-head";
/// The head's value for a version of the manifest.
std::string manifestHeadText(uint64_t version);
/// Reads what manifestHeadText wrote; nothing when the text is malformed.
std::optional<uint64_t> manifestHeadFromText(std::string_view);
/// Name of the object that tells what became of the manifest.
constexpr std::string_view manifestStatusObject = "status/manifest";

/// The platform's object API.
class Platform {
public:
    template <typename Value> using Callback = std::function<void(PlatformResult<Value>)>;

    virtual ~Platform() = default;

    virtual void get(std::string_view name, Callback<StoredObject>) = 0;
    /// All objects whose names begin with the prefix.
    virtual void list(std::string_view prefix, Callback<std::vector<StoredObject>>) = 0;
    /// Writes the value if the object is at the expected version, and returns the new version.
    virtual void put(std::string_view name, std::string_view value, uint64_t expectedVersion, Callback<uint64_t>) = 0;
    /// Removes the object if it is at the expected version, and returns that version.
    virtual void remove(std::string_view name, uint64_t expectedVersion, Callback<uint64_t>) = 0;
    /// Waits until the object is past the given version, and returns it; after `patience` without a change it returns
    /// the object as it is. A watch may go silent: callers must not rely on it alone.
    virtual void watch(std::string_view name, uint64_t pastVersion, Duration patience, Callback<StoredObject>) = 0;
};

} // namespace Vanillaridge
