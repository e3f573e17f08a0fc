/// HMAC-SHA256 under one key.
#pragma once

#include "wire/Wire.h"

#include <openssl/evp.h>

namespace Vanillaridge {

using MacBytes = std::array<std::byte, macSize>;

/// A keyed MAC, ready for use. One thread at a time; copies are independent.
class Mac {
public:
    explicit Mac(Bytes key);
    Mac(const Mac&);
    Mac& operator=(const Mac&) = delete;

    /// Starts a new message; parts are added one by one.
    void begin();
    void add(Bytes);
    /// Adds a part together with its length, so that the border between two parts cannot be moved.
    void addField(Bytes);
    /// The MAC at its full length, for use as a key.
    std::array<std::byte, 32> finishWhole();
    MacBytes finish();

private:
    struct Release {
        void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
    };
    std::unique_ptr<EVP_MAC_CTX, Release> m_context;
};

/// Compares without a time that depends on where the two differ.
bool equalMacs(std::span<const std::byte, macSize>, std::span<const std::byte, macSize>);

} // namespace Vanillaridge
