#include "documents/Documents.h"
#include "store/Store.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>
#include <mutex>

namespace Vanillaridge {

namespace {

    constexpr size_t valueLimit = 1 << 20;
    // How often a watch looks at the objects and at the file.
    constexpr Duration lookPeriod = milliseconds(500);

} // namespace

struct FileStore::Memory : std::enable_shared_from_this<Memory> {
    Memory(boost::asio::io_context& context, std::string file)
        : context(context)
        , file(std::move(file))
    {
    }

    // Takes the file's content as the manifest if it has changed; a file that cannot be read changes nothing.
    void readManifest()
    {
        auto text = boost::leaf::try_handle_all([&] { return readFile(file, valueLimit); },
            [](const FileError&) { return std::string(); }, [] { return std::string(); });
        auto& object = objects[std::string(defaultManifestObject)];
        if (!text.empty() && text != object.value)
            object = { std::string(defaultManifestObject), nextVersion(), std::move(text) };
    }

    StoreResult<StoredObject> read(const std::string& name)
    {
        std::lock_guard guard(lock);
        readManifest();
        const auto found = objects.find(name);
        if (found == objects.end() || found->second.version.isAbsent())
            return StoreError::NotFound;
        return found->second;
    }

    StoreResult<std::vector<StoredObject>> list(std::string_view kind)
    {
        const auto prefix = std::string(kind) + '/';
        std::lock_guard guard(lock);
        readManifest();
        std::vector<StoredObject> matching;
        for (const auto& [name, object] : objects) {
            if (name.starts_with(prefix) && !object.version.isAbsent())
                matching.push_back(object);
        }
        return matching;
    }

    // Replaces or removes the object if it is at the expected version.
    StoreResult<StoreVersion> change(const std::string& name, StoreVersion expected, std::optional<std::string> value)
    {
        std::lock_guard guard(lock);
        readManifest();
        const auto found = objects.find(name);
        const auto present = found == objects.end() ? absentVersion : found->second.version;
        if (present.number != expected.number)
            return StoreError::Conflict;
        if (!value) {
            objects.erase(name);
            return present;
        }
        const auto version = nextVersion();
        objects[name] = { name, version, std::move(*value) };
        return version;
    }

    StoreVersion nextVersion() { return { 0, ++newestNumber }; }

    // Looks again and again, with a timer in between, until the object has changed or the patience is over.
    void watch(const std::string& name, StoreVersion pastVersion, Duration patience, Callback<StoredObject> done)
    {
        auto object = read(name);
        if (patience <= Duration(0) || (object && object.value().version > pastVersion)) {
            done(std::move(object));
            return;
        }
        const auto step = std::min(lookPeriod, patience);
        auto timer = std::make_shared<boost::asio::steady_timer>(context, step);
        timer->async_wait([self = shared_from_this(), timer, name, pastVersion, left = patience - step,
                              done = std::move(done)](boost::system::error_code error) mutable {
            if (!error)
                self->watch(name, pastVersion, left, std::move(done));
        });
    }

    // Answers from the event loop, never from within the call.
    template <typename Value, typename Work> void answer(Callback<Value> done, Work work)
    {
        boost::asio::post(context,
            [self = shared_from_this(), done = std::move(done), work = std::move(work)] { done(work(*self)); });
    }

    boost::asio::io_context& context;
    const std::string file;
    std::mutex lock;
    std::map<std::string, StoredObject, std::less<>> objects;
    uint64_t newestNumber { 0 };
};

FileStore::FileStore(boost::asio::io_context& context, std::string manifestFile)
    : m_memory(std::make_shared<Memory>(context, std::move(manifestFile)))
{
}

FileStore::~FileStore() = default;

void FileStore::get(std::string_view name, Callback<StoredObject> done)
{
    m_memory->answer(std::move(done), [name = std::string(name)](Memory& memory) { return memory.read(name); });
}

void FileStore::list(std::string_view kind, Callback<std::vector<StoredObject>> done)
{
    m_memory->answer(std::move(done), [kind = std::string(kind)](Memory& memory) { return memory.list(kind); });
}

void FileStore::put(
    std::string_view name, std::string_view value, StoreVersion expectedVersion, Callback<StoreVersion> done)
{
    m_memory->answer(
        std::move(done), [name = std::string(name), value = std::string(value), expectedVersion](Memory& memory) {
            return memory.change(name, expectedVersion, value);
        });
}

void FileStore::remove(std::string_view name, StoreVersion expectedVersion, Callback<StoreVersion> done)
{
    m_memory->answer(std::move(done), [name = std::string(name), expectedVersion](Memory& memory) {
        return memory.change(name, expectedVersion, std::nullopt);
    });
}

void FileStore::watch(std::string_view name, StoreVersion pastVersion, Duration patience, Callback<StoredObject> done)
{
    boost::asio::post(m_memory->context,
        [memory = m_memory, name = std::string(name), pastVersion, patience, done = std::move(done)]() mutable {
            memory->watch(name, pastVersion, patience, std::move(done));
        });
}

} // namespace Vanillaridge
