#include "quota/Quota.h"

namespace Vanillaridge {

struct Quota::Parts { };

Quota::Quota(Board&, Clock&, RandomSource&, Platform&, const QuotaSettings&)
    : m_parts(std::make_shared<Parts>())
{
}

Quota::~Quota() = default;

QuotaDecision Quota::take(std::string_view, QuotaCallback) { return { QuotaAnswer::Admitted, {}, {} }; }

void Quota::giveBack(std::string_view, const QuotaDecision&) { }

void Quota::receive(const Endpoint&, const QuotaPull&) { }

void Quota::receive(const Endpoint&, const QuotaGrant&) { }

void Quota::tick() { }

void Quota::release() { }

bool Quota::released() const { return true; }

std::vector<uint32_t> Quota::heldSlots() const { return {}; }

QuotaStatus Quota::status() const { return {}; }

std::optional<std::string> problemOf(const QuotaSettings&) { return std::nullopt; }

std::optional<std::string> problemOf(const ClientAccount&, const QuotaSettings&) { return std::nullopt; }

std::span<const std::string_view> quotaStrategyNames()
{
    static constexpr std::array<std::string_view, 4> s_names { "conserved", "conserved-home", "leased-owner",
        "static-split" };
    return s_names;
}

} // namespace Vanillaridge
