/// Encoding of datagrams, for those who add the MAC.
#pragma once

#include "wire/Wire.h"

namespace Vanillaridge {

/// Appends a datagram's payload, without the MAC.
void encodeDatagram(std::string& out, const Datagram&);
/// Reads what encodeDatagram wrote. Errors: WireError.
leaf::result<Datagram> decodeDatagram(Bytes payload);

} // namespace Vanillaridge
