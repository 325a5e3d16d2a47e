#include "Commands.h"

#include "heatherchute/Config.h"
#include "heatherchute/Model.h"

#include <iostream>
#include <unistd.h>

namespace heatherchute::cli {

/// One poll for a job's next change.
static constexpr int pollSeconds = 20;

static Exit configCheck(Client& client, const Words& words)
{
    const auto text = readFile(words[0]);
    if (!text)
        return refuse("cannot read " + words[0]);
    const auto checked = parseConfiguration(text.value());
    for (const auto& finding : checked.findings)
        std::cerr << words[0] << ": " << finding.field << ": " << finding.reason << '\n';
    if (checked.findings.empty())
        print({ { "ok", true }, { "teams", checked.configuration.teams.size() } }, client.options().json);
    return checked.findings.empty() ? Exit::Done : Exit::Usage;
}

static Exit get(Client& client, std::string target)
{
    return show(client, client.call({ "GET", std::move(target), {}, {} }));
}

static Exit configGet(Client& client, const Words&)
{
    const auto result = client.call({ "GET", "/v1/config", {}, {} });
    if (!result || result.value().status != 200)
        return show(client, result);
    std::cerr << "version " << findHeader(result.value().headers, "ETag") << '\n';
    std::cout << result.value().body << '\n';
    return Exit::Done;
}

/// Puts a text over the version that was read; the loser of a race is told so, not retried.
static Exit putOver(Client& client, const std::string& text, std::string_view tag)
{
    return show(client, client.call({ "PUT", "/v1/config", { { "If-Match", std::string(tag) } }, text }));
}

static Exit configPut(Client& client, const Words& words)
{
    const auto text = readFile(words[0]);
    if (!text)
        return refuse("cannot read " + words[0]);
    if (words.size() > 1)
        return putOver(client, text.value(), "\"" + words[1] + "\"");
    const auto current = client.call({ "GET", "/v1/config", {}, {} });
    if (!current || current.value().status != 200)
        return show(client, current);
    return putOver(client, text.value(), findHeader(current.value().headers, "ETag"));
}

static Exit configHistory(Client& client, const Words&) { return get(client, "/v1/config/history"); }

/// Changes one entry of one list of the configuration and puts it over the version read.
static Exit changeEntry(Client& client, const char* list, const std::string& name, const std::function<void(Json&)>& change)
{
    const auto current = client.call({ "GET", "/v1/config", {}, {} });
    if (!current || current.value().status != 200)
        return show(client, current);
    auto config = parseJsonWithComments(current.value().body).value;
    for (auto& entry : config[list]) {
        if (entry.value("name", "") != name)
            continue;
        change(entry);
        return putOver(client, config.dump(2), findHeader(current.value().headers, "ETag"));
    }
    return refuse(std::string(list) + " has no entry named " + name);
}

static Exit changeNumber(Client& client, const char* list, const std::string& name, const char* field, const std::string& text)
{
    const auto number = Json::parse(text, nullptr, false);
    if (!number.is_number())
        return refuse(text + " is not a number");
    return changeEntry(client, list, name, [&](Json& entry) { entry[field] = number; });
}

static Exit target(Client& client, const Words& words)
{
    if (words[1] == "wait_p99_ms")
        return changeNumber(client, "classes", words[0], "wait_p99_ms", words[2]);
    if (words[1] == "finish_by")
        return changeEntry(client, "classes", words[0], [&words](Json& entry) { entry["finish_by"] = words[2]; });
    return refuse("a target is wait_p99_ms or finish_by");
}

static Exit share(Client& client, const Words& words) { return changeNumber(client, "teams", words[0], "share_percent", words[1]); }
static Exit limit(Client& client, const Words& words) { return changeNumber(client, "teams", words[0], "running_limit", words[1]); }

static Exit keyGrant(Client& client, const Words& words)
{
    const Json body { { "name", words[0] }, { "team", words[1] } };
    return show(client, client.call({ "POST", "/v1/keys", {}, body.dump() }));
}

static Exit keyWithdraw(Client& client, const Words& words) { return show(client, client.call({ "DELETE", "/v1/keys/" + words[0], {}, {} })); }
static Exit keyList(Client& client, const Words&) { return get(client, "/v1/keys"); }
static Exit queue(Client& client, const Words& words) { return get(client, "/v1/queues/" + words[0] + "/jobs"); }

static Exit submit(Client& client, const Words& words)
{
    Json body = Json::object();
    std::vector<HttpHeader> headers;
    for (std::size_t i = 1; i < words.size(); ++i) {
        const auto equals = words[i].find('=');
        if (equals == std::string::npos)
            return refuse("expected field=value, got " + words[i]);
        const auto field = words[i].substr(0, equals);
        const auto value = words[i].substr(equals + 1);
        const auto parsed = Json::parse(value, nullptr, false);
        const bool isPlain = parsed.is_number() || parsed.is_boolean();
        if (field == "key")
            headers.push_back({ "Idempotency-Key", value });
        else
            body[field] = isPlain && field != "name" && field != "work" ? parsed : Json(value);
    }
    return show(client, client.call({ "POST", "/v1/queues/" + words[0] + "/jobs", std::move(headers), body.dump() }));
}

static Exit jobList(Client& client, const Words&) { return get(client, "/v1/jobs"); }
static Exit jobShow(Client& client, const Words& words) { return get(client, "/v1/jobs/" + words[0]); }
static Exit jobCancel(Client& client, const Words& words) { return show(client, client.call({ "DELETE", "/v1/jobs/" + words[0], {}, {} })); }
static Exit explain(Client& client, const Words& words) { return get(client, "/v1/jobs/" + words[0] + "/explain"); }

static void showProgress(const Json& job)
{
    if (!isatty(STDERR_FILENO))
        return;
    const auto tasks = job.value("tasks", Json::object());
    std::cerr << "\r\033[K" << job.value("id", "") << "  " << job.value("state", "") << "  " << tasks.value("done", 0) << " of " << tasks.value("total", 0) << " tasks done" << std::flush;
}

static Exit jobWait(Client& client, const Words& words)
{
    std::uint64_t version = 0;
    for (;;) {
        const auto path = "/v1/jobs/" + words[0] + "?wait=" + std::to_string(pollSeconds) + "&since=" + std::to_string(version);
        const auto result = client.call({ "GET", path, {}, {} }, Seconds(pollSeconds + 10));
        if (!result || result.value().status != 200)
            return show(client, result);
        const auto job = Json::parse(result.value().body, nullptr, false);
        version = job.value("version", version);
        showProgress(job);
        const auto state = jobStateFromName(job.value("state", ""));
        if (!state || !isFinal(*state))
            continue;
        if (isatty(STDERR_FILENO))
            std::cerr << '\n';
        print(job, client.options().json);
        return *state == JobState::Succeeded ? Exit::Done : Exit::JobFailed;
    }
}

static Exit request(Client& client, const Words& words)
{
    HttpRequest request { words[1], "/v1/services/" + words[0] + (words[2].starts_with('/') ? "" : "/") + words[2], {}, {} };
    if (words.size() > 3)
        request.body = words[3];
    if (words.size() > 4)
        request.headers.push_back({ "Idempotency-Key", words[4] });
    return show(client, client.call(std::move(request)));
}

static Exit vmList(Client& client, const Words&) { return get(client, "/v1/vms"); }

static Exit vmDrain(Client& client, const Words& words)
{
    const bool ends = words.size() > 1 && words[1] == "--end";
    return show(client, client.call({ ends ? "DELETE" : "POST", "/v1/vms/" + words[0] + "/drain", {}, {} }));
}

static Exit status(Client& client, const Words&) { return get(client, "/v1/status"); }
static Exit metrics(Client& client, const Words&) { return get(client, "/metrics"); }

std::span<const Command> commands()
{
    static constexpr Command table[] {
        { "config check", "FILE", "checks a configuration without putting it", 1, configCheck },
        { "config get", "", "shows the configuration in force", 0, configGet },
        { "config put", "FILE [VERSION]", "puts a configuration over the version named, or the newest", 1, configPut },
        { "config history", "", "lists the accepted changes", 0, configHistory },
        { "target", "CLASS wait_p99_ms|finish_by VALUE", "changes the target of a class", 3, target },
        { "share", "TEAM PERCENT", "changes a team's share", 2, share },
        { "limit", "TEAM COUNT", "changes a team's upper limit", 2, limit },
        { "key grant", "NAME TEAM", "grants a key and shows it once", 2, keyGrant },
        { "key withdraw", "NAME", "withdraws a key", 1, keyWithdraw },
        { "key list", "", "lists the keys granted", 0, keyList },
        { "queue", "QUEUE", "lists the jobs of a queue", 1, queue },
        { "submit", "QUEUE [FIELD=VALUE ...]", "submits a job: name, tasks, cpus, memory_mb, accelerators, runtime_ms, spread_racks, work, key", 1, submit },
        { "job list", "", "lists the jobs of the key's team", 0, jobList },
        { "job show", "JOB", "shows a job", 1, jobShow },
        { "job wait", "JOB", "waits until a job has ended", 1, jobWait },
        { "job cancel", "JOB", "cancels a job", 1, jobCancel },
        { "request", "SERVICE METHOD PATH [BODY [IDEMPOTENCY-KEY]]", "sends a request to a service", 3, request },
        { "vm list", "", "lists the VMs", 0, vmList },
        { "vm drain", "VM [--end]", "lets nothing new start on a VM, or ends that", 1, vmDrain },
        { "status", "", "shows what the entry VM knows of the fleet", 0, status },
        { "explain", "JOB", "tells why a job waits, or why it ran where it did", 1, explain },
        { "metrics", "", "shows the entry VM's metrics", 0, metrics },
    };
    return table;
}

} // namespace heatherchute::cli
