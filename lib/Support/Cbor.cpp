#include "heatherchute/Support.h"

namespace heatherchute {

namespace {

    /// Builds a document and stops at the first container beyond the maximum nesting. The library's
    /// decoder recurses for each level, so unbounded nesting would overflow a fiber's stack.
    class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
    public:
        using Base = nlohmann::detail::json_sax_dom_parser<Json>;

        explicit BoundedBuilder(Json& document)
            : Base(document, false)
        {
        }

        bool start_object(std::size_t elements) { return enter() && Base::start_object(elements); }
        bool start_array(std::size_t elements) { return enter() && Base::start_array(elements); }
        bool end_object()
        {
            --m_depth;
            return Base::end_object();
        }
        bool end_array()
        {
            --m_depth;
            return Base::end_array();
        }

    private:
        bool enter()
        {
            /// No message or record of ours has more than ten levels.
            constexpr unsigned maxDepth = 32;
            return ++m_depth <= maxDepth;
        }

        unsigned m_depth = 0;
    };

} // namespace

std::string encodeCbor(const Json& json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<Json> decodeCbor(std::string_view bytes)
{
    Json document;
    BoundedBuilder builder(document);
    try {
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor))
            return std::nullopt;
    } catch (const Json::exception&) {
        // A container that claims to be larger than memory.
        return std::nullopt;
    }
    return document;
}

} // namespace heatherchute
