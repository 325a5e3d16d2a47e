#include "heatherchute/Support.h"

#include <array>
#include <cassert>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace heatherchute {

/// Final mixing step, so that near-equal texts give unrelated weights.
static std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char byte : text) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::size_t rendezvousChoice(std::string_view key, std::span<const std::string> candidates)
{
    assert(!candidates.empty() && "rendezvous choice among nobody");
    const auto keyHash = stableHash(key);
    std::size_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto weight = mix(keyHash ^ stableHash(candidates[i]));
        if (i == 0 || weight > bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

static std::string toHex(const unsigned char* bytes, std::size_t count)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(count * 2);
    for (std::size_t i = 0; i < count; ++i) {
        text.push_back(digits[bytes[i] >> 4]);
        text.push_back(digits[bytes[i] & 15]);
    }
    return text;
}

std::string randomToken(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1)
        std::abort();
    return toHex(buffer.data(), bytes);
}

std::string secretDigest(std::string_view secret)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_Digest(secret.data(), secret.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

bool sameDigest(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string encodeBase64(std::string_view text)
{
    // The encoder closes its output with a zero byte.
    std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
    const auto* const input = reinterpret_cast<const unsigned char*>(text.data());
    auto* const output = reinterpret_cast<unsigned char*>(encoded.data());
    encoded.resize(static_cast<std::size_t>(EVP_EncodeBlock(output, input, static_cast<int>(text.size()))));
    return encoded;
}

std::string decodeBase64(std::string_view text)
{
    std::string decoded(3 * (text.size() / 4) + 1, '\0');
    const auto* const input = reinterpret_cast<const unsigned char*>(text.data());
    auto* const output = reinterpret_cast<unsigned char*>(decoded.data());
    const auto size = EVP_DecodeBlock(output, input, static_cast<int>(text.size()));
    if (size < 0)
        return {};
    // The decoder counts the padding as zero bytes of output.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    decoded.resize(static_cast<std::size_t>(size) - padding);
    return decoded;
}

} // namespace heatherchute
