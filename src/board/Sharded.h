/// A map in shards, each under its own lock.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace Vanillaridge {

/// Threads that touch different keys rarely meet: each key belongs to one shard, and each shard has its own lock.
/// A callback runs under its shard's lock, so it must be short and must not touch the same table again.
template <typename Key, typename Value, size_t shardCount = 16> class Sharded {
public:
    using Map = std::unordered_map<Key, Value>;

    /// Runs `use(Map&)` under the lock of the key's shard, and returns what it returns.
    template <typename Use> decltype(auto) with(const Key& key, Use&& use)
    {
        auto& shard = shardOf(key);
        std::lock_guard guard(shard.lock);
        return use(shard.map);
    }

    /// Runs `use(Value&)` on the key's value, which is made first if there is none.
    template <typename Use> decltype(auto) update(const Key& key, Use&& use)
    {
        return with(key, [&](Map& map) -> decltype(auto) { return use(map[key]); });
    }

    /// Runs `use(Value&)` on the key's value, and tells whether there was one.
    template <typename Use> bool visit(const Key& key, Use&& use)
    {
        return with(key, [&](Map& map) {
            const auto found = map.find(key);
            if (found == map.end())
                return false;
            use(found->second);
            return true;
        });
    }

    bool erase(const Key& key)
    {
        return with(key, [&](Map& map) { return map.erase(key) > 0; });
    }

    /// Runs `use(const Key&, Value&)` on every entry, shard after shard.
    template <typename Use> void forEach(Use&& use)
    {
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            for (auto& [key, value] : shard.map)
                use(key, value);
        }
    }

    /// Erases every entry for which `test(const Key&, Value&)` holds, shard after shard; returns how many.
    template <typename Test> size_t eraseIf(Test&& test)
    {
        size_t erased = 0;
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            erased += std::erase_if(shard.map, [&](auto& entry) { return test(entry.first, entry.second); });
        }
        return erased;
    }

    size_t size()
    {
        size_t total = 0;
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            total += shard.map.size();
        }
        return total;
    }

private:
    struct alignas(64) Shard {
        std::mutex lock;
        Map map;
    };

    Shard& shardOf(const Key& key) { return m_shards[std::hash<Key>()(key) % shardCount]; }

    std::array<Shard, shardCount> m_shards;
};

} // namespace Vanillaridge
