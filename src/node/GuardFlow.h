/// The way of a request through the node beside the backend server. Private to the node library.
#pragma once

#include "node/Parts.h"

namespace Vanillaridge {

/// Serves what other nodes send to the backend servers beside this one.
class GuardFlow final : public PeerHandler {
public:
    explicit GuardFlow(Parts& parts)
        : m_parts(parts)
    {
    }

    Task<void> serve(MessageStreamPointer, OpenRequest, PeerClock) override;
    VerdictReply verdict(const VerdictQuery&, const Hello& sender, const PeerClock&) override;
    void control(const Endpoint& from, const ControlMessage&) override;

private:
    Parts& m_parts;
};

} // namespace Vanillaridge
