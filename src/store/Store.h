/// The object store as controllers see it: named values with versions, conditional updates and watches.
///
/// The interface says nothing of transport: a client of some store stands behind it, or a file for a single instance,
/// or a fake of a test. Calls never block: each calls back exactly once, from any thread, also when it fails.
#pragma once

#include "store/CallGate.h"

namespace boost::asio { // NOLINT(readability-identifier-naming): not ours
class io_context;
}

namespace Vanillaridge {

/// A point in the history of a store. Numbers are ordered within one era only: a store that is restored from a backup
/// begins the next era, goes back to the numbers of the backup and gives out those after it again.
struct StoreVersion {
    uint64_t era { 0 };
    /// 0 of an object that does not exist.
    uint64_t number { 0 };
    auto operator<=>(const StoreVersion&) const = default; // NOLINT(modernize-use-nullptr)
    bool isAbsent() const { return number == 0; }
};

/// Version to expect of an object that does not exist yet, whatever the era.
constexpr StoreVersion absentVersion {};

/// A value as the store holds it.
struct StoredObject {
    std::string name;
    /// Given by the store; grows with every change of this object. Its number is never 0.
    StoreVersion version;
    /// UTF-8 text.
    std::string value;
};

/// Why a call gave no result.
enum class StoreError : uint8_t {
    /// No connection, or it was refused: the call had no effect.
    Unreachable,
    /// No answer came: a change may have taken effect, and must be read back.
    AnswerLost,
    /// The object was not at the expected version.
    Conflict,
    NotFound,
    /// The store, or this node's own limit on calls, asks for fewer calls: no effect.
    TooManyCalls,
    /// The answer could not be understood.
    Malformed,
};
std::string_view toText(StoreError);

/// What a call returns: a value, or why there is none.
template <typename Value> class StoreResult {
public:
    StoreResult(Value value)
        : m_value(std::move(value))
    {
    }
    StoreResult(StoreError error)
        : m_error(error)
    {
    }

    explicit operator bool() const { return m_value.has_value(); }
    const Value& value() const { return *m_value; }
    StoreError error() const { return m_error; }

private:
    std::optional<Value> m_value;
    StoreError m_error { StoreError::Malformed };
};

/// Names have two parts, "kind/name"; both are made of letters, digits, '-', '.' and '_'.
/// Where the manifest is unless the surroundings say otherwise.
constexpr std::string_view defaultManifestObject = "manifests/main";
/// Name of the object that tells what is wrong with the manifest.
constexpr std::string_view manifestStatusObject = "manifest-status/main";

/// An object store. May be used by several threads.
class ObjectStore {
public:
    template <typename Value> using Callback = std::function<void(StoreResult<Value>)>;

    virtual ~ObjectStore() = default;

    virtual void get(std::string_view name, Callback<StoredObject>) = 0;
    /// All objects of a kind. What it shows may be seconds old.
    virtual void list(std::string_view kind, Callback<std::vector<StoredObject>>) = 0;
    /// Writes the value if the object is at the expected version, and returns the new version. A version of an era that
    /// is known to have ended is a Conflict. If it ended unknown to this client, the change may have replaced another
    /// one that has got the expected number: that is AnswerLost.
    virtual void put(
        std::string_view name, std::string_view value, StoreVersion expectedVersion, Callback<StoreVersion>)
        = 0;
    /// Removes the object if it is at the expected version, and returns that version.
    virtual void remove(std::string_view name, StoreVersion expectedVersion, Callback<StoreVersion>) = 0;
    /// Waits until the object is past the given version, and returns it; after `patience` without a change it returns
    /// the object as it is. A watch may go silent: callers must not rely on it alone.
    virtual void watch(std::string_view name, StoreVersion pastVersion, Duration patience, Callback<StoredObject>) = 0;
    /// Counts the times that the store was restored from a backup, as far as its answers told; 0 for a store that tells
    /// of none. Nothing before the first answer.
    virtual std::optional<uint64_t> era() const = 0;
};

/// Objects in memory, with a manifest file as one of them: for one instance without a store. The file is looked at
/// again with every read and during watches; a new content is a new version. All else is lost at exit.
class FileStore final : public ObjectStore {
public:
    FileStore(boost::asio::io_context&, std::string manifestFile);
    ~FileStore() override;

    void get(std::string_view name, Callback<StoredObject>) override;
    void list(std::string_view kind, Callback<std::vector<StoredObject>>) override;
    void put(
        std::string_view name, std::string_view value, StoreVersion expectedVersion, Callback<StoreVersion>) override;
    void remove(std::string_view name, StoreVersion expectedVersion, Callback<StoreVersion>) override;
    void watch(std::string_view name, StoreVersion pastVersion, Duration patience, Callback<StoredObject>) override;
    std::optional<uint64_t> era() const override { return 0; }

private:
    struct Memory;
    std::shared_ptr<Memory> m_memory;
};

} // namespace Vanillaridge
