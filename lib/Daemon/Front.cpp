#include "Front.h"

namespace heatherchute {

static constexpr std::size_t inboxCapacity = 32'768;
/// The core answers every call by its deadline; this only catches an answer that was dropped.
static constexpr Seconds longestAnswer { 150 };

static HttpServerSettings serverSettings(const Address& listen)
{
    HttpServerSettings settings;
    settings.listen = listen;
    return settings;
}

Front::Front(std::function<bool(CoreEvent&)> toCore)
    : m_toCore(std::move(toCore))
    , m_duty("front")
    , m_inbox(m_duty, inboxCapacity,
          [this](FrontAnswer&& answer) {
              const auto found = m_waiting.find(answer.front);
              if (found != m_waiting.end())
                  found->second.set_value(std::move(answer.response));
          })
{
}

void Front::open(const Address& listen)
{
    m_server = std::make_unique<HttpServer>(m_duty, serverSettings(listen), [this](HttpRequest&& request) { return serve(std::move(request)); });
}

HttpResponse Front::serve(HttpRequest&& request)
{
    const auto id = m_nextRequest++;
    auto answered = m_waiting[id].get_future();
    CoreEvent arrived = CallArrived { id, std::move(request), Clock::now() };
    if (!m_toCore(arrived)) {
        m_waiting.erase(id);
        return errorResponse(ErrorKind::Overloaded);
    }
    const bool isAnswered = answered.wait_for(longestAnswer) == boost::fibers::future_status::ready;
    auto response = isAnswered ? answered.get() : errorResponse(ErrorKind::OutcomeUnknown);
    m_waiting.erase(id);
    return response;
}

} // namespace heatherchute
