#include "Messages.h"

namespace heatherchute {

std::string encodePeerMessage(const PeerMessage& message)
{
    std::string bytes;
    Json::to_cbor(toTagged(message), bytes);
    return bytes;
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    const auto json = Json::from_cbor(bytes, true, false);
    return json.is_discarded() ? Result<PeerMessage>(ErrorKind::BadJson) : fromTagged<PeerMessage>(json);
}

} // namespace heatherchute
