#include "wire/Mac.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <stdexcept>

namespace Vanillaridge {

namespace {

    const unsigned char* raw(Bytes bytes) { return reinterpret_cast<const unsigned char*>(bytes.data()); }

    // Failures here mean that the library is broken or out of memory, never that the input was bad.
    void require(bool succeeded)
    {
        if (!succeeded)
            throw std::runtime_error("the MAC could not be computed");
    }

    EVP_MAC_CTX* makeContext(Bytes key)
    {
        static EVP_MAC* const s_hmac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
        EVP_MAC_CTX* context = EVP_MAC_CTX_new(s_hmac);
        require(context != nullptr);
        std::string digest = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters {
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0), OSSL_PARAM_construct_end()
        };
        require(EVP_MAC_init(context, raw(key), key.size(), parameters.data()) == 1);
        return context;
    }

} // namespace

Mac::Mac(Bytes key)
    : m_context(makeContext(key))
{
}

Mac::Mac(const Mac& other)
    : m_context(EVP_MAC_CTX_dup(other.m_context.get()))
{
    require(m_context != nullptr);
}

void Mac::begin() { require(EVP_MAC_init(m_context.get(), nullptr, 0, nullptr) == 1); }

void Mac::add(Bytes bytes) { require(EVP_MAC_update(m_context.get(), raw(bytes), bytes.size()) == 1); }

void Mac::addField(Bytes bytes)
{
    const uint64_t size = bytes.size();
    add(std::as_bytes(std::span(&size, 1)));
    add(bytes);
}

std::array<std::byte, 32> Mac::finishWhole()
{
    std::array<std::byte, 32> whole;
    size_t size = 0;
    require(EVP_MAC_final(m_context.get(), reinterpret_cast<unsigned char*>(whole.data()), &size, whole.size()) == 1);
    return whole;
}

MacBytes Mac::finish()
{
    const auto whole = finishWhole();
    MacBytes mac;
    std::copy_n(whole.begin(), macSize, mac.begin());
    return mac;
}

bool equalMacs(std::span<const std::byte, macSize> left, std::span<const std::byte, macSize> right)
{
    return !CRYPTO_memcmp(left.data(), right.data(), macSize);
}

} // namespace Vanillaridge
