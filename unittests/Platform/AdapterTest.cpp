#include "platform/Adapter.h"

#include <catch2/catch.hpp>

using namespace heatherchute;
using namespace heatherchute::platform;

TEST_CASE("The operator's configuration document is parsed into a policy")
{
    const auto policy = parseCellPolicy(R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","service":"s","priority":1,
        "max_attempts":2,"stretch":2.2,"target_latency_ms":1000,"hint":{"decide_ms":390.0,"per_worker_ms":5.5,"validity_ms":1500},"public":false},
        {"name":"deep","host":"h.example","path_prefix":"/a/b/","service":"s"}],
        "services":[{"name":"s","max_connections":64,"preconditions":false}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":31,"upper_limit":{"cpu":1000,"mem_mb":2000,"gpu":0}}],"new_field":[1]})");
    REQUIRE(policy);
    CHECK(policy.value()->version == 7);
    const auto* const queue = policy.value()->selectQueue("h.example", "/a/0123456789abcdef");
    REQUIRE(queue);
    CHECK(queue->name == "r");
    CHECK(queue->advice->base == Milliseconds(390));
    CHECK(policy.value()->selectQueue("h.example", "/a/b/0123456789abcdef")->name == "deep");
    CHECK_FALSE(policy.value()->selectQueue("other.example", "/a/0123456789abcdef"));
    CHECK(policy.value()->teamOfKey("k2")->name == "t");
    CHECK_FALSE(policy.value()->teamOfKey("k3"));
    CHECK_FALSE(parseCellPolicy("[]"));
    CHECK_FALSE(parseCellPolicy(R"({"version":"seven"})"));
}

TEST_CASE("Evacuated failure domains are named by their keys")
{
    CHECK(evacuatedDomainOfKey("op/evacuate/zone-a") == "zone-a");
    CHECK(evacuatedDomainOfKey("op/evacuate/").empty());
}

TEST_CASE("A page that does not tell which items exist is an error")
{
    const auto page = parsePage(Json::parse(R"({"items":[{"key":"a","value":"eA==","revision":4}],"has_more":true,"at_rev":9})"));
    REQUIRE(page);
    CHECK(page->items.at(0).value == "x");
    CHECK(page->hasMore);
    CHECK(page->revision == 9);
    CHECK(parsePage(Json::parse(R"({"items":[],"has_more":false,"at_rev":9})")));
    // Each of these was once taken for the end of the list, so that jobs counted as unknown.
    for (const auto* const unreadable : { "{}", R"({"items":5})", R"({"items":[5],"has_more":false})", R"({"items":[],"has_more":true})" })
        CHECK_FALSE(parsePage(Json::parse(unreadable)));
}

TEST_CASE("Invalid VM registry entries are rejected with a reason")
{
    const std::string valid = R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":1,"sequence":4,"born":1700000000000})";
    std::string reason;
    const auto report = parseVmReport("i-1", valid, reason);
    REQUIRE(report);
    CHECK(report->rack == "r1-3");
    CHECK(report->incarnation == 1'700'000'000'000);
    CHECK(report->capacity.cpuMilli == 16'000);
    for (const auto* const invalid : { "", "[]", R"({"service":5})", R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})",
             R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"resting"})", "\xff\xfe" }) {
        reason.clear();
        CHECK_FALSE(parseVmReport("i-1", invalid, reason));
        CHECK_FALSE(reason.empty());
    }
}

TEST_CASE("Invalid jobs are rejected with a reason")
{
    std::string reason;
    const auto job = parseJob(R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},{"count":2,"after":[0],"gang":true,"anti_affinity":1}]})", reason);
    REQUIRE(job);
    CHECK(job->steps.at(1).gang);
    CHECK(job->steps.at(1).maxTasksPerVm == 1);
    for (const auto* const invalid : { "", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":"x"}]})" }) {
        reason.clear();
        CHECK_FALSE(parseJob(invalid, reason));
        CHECK_FALSE(reason.empty());
    }
}

TEST_CASE("Numbers of a job that exceed their fields are rejected, not cut off")
{
    std::string reason;
    for (const auto* const invalid : { R"({"steps":[{"count":2147483648},{"count":2147483648}]})", R"({"steps":[{"count":4294967297}]})", R"({"steps":[{"count":4000},{"count":4000}]})",
             R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})", R"({"steps":[{"count":1,"anti_affinity":4294967297}]})", R"({"steps":[{"count":1,"cpu":1e30}]})",
             R"({"steps":[{"count":1,"estimate_ms":1e300}]})", R"({"steps":[{"count":1}],"repeat_count":4294967297})", R"({"steps":[{"count":1}],"start_at_ms":1e300})" }) {
        reason.clear();
        CHECK_FALSE(parseJob(invalid, reason));
        CHECK_FALSE(reason.empty());
    }
    reason.clear();
    CHECK(parseJob(R"({"steps":[{"count":2.0,"estimate_ms":12.5}]})", reason));
}

TEST_CASE("Numbers of a configuration that exceed their fields are rejected")
{
    const std::string rows[] { R"("routes":[{"name":"r","host":"h","path_prefix":"/","priority":4294967296}])", R"("routes":[{"name":"r","host":"h","path_prefix":"/","max_attempts":4294967297}])",
        R"("routes":[{"name":"r","host":"h","path_prefix":"/","stretch":1e300}])", R"("routes":[{"name":"r","host":"h","path_prefix":"/","hint":{"decide_ms":1e300}}])",
        R"("services":[{"name":"s","max_connections":4294967297}])", R"("tenants":[{"name":"t","weight":1e300}])" };
    for (const auto& row : rows)
        CHECK_FALSE(parseCellPolicy("{\"version\":1," + row + "}"));
}

TEST_CASE("Callers' requests are decoded by method, path and headers")
{
    const auto request = parseCaller({ "POST", "/a/0123456789abcdef?x=1", { { "Host", "h.example:80" }, { "Authorization", "Token k1" }, { "X-Request-Deadline", "2500" } }, "" });
    CHECK(request.kind == CallKind::Submit);
    CHECK(request.host == "h.example");
    CHECK(request.key == "k1");
    CHECK(request.patience == Milliseconds(2500));
    CHECK(jobIdOfPath(request.path, "/a/") == "0123456789abcdef");
    CHECK(parseCaller({ "GET", "/a/", {}, "" }).kind == CallKind::CountPending);
    CHECK(parseCaller({ "DELETE", "/a/", {}, "" }).kind == CallKind::Unsupported);
    CHECK(jobIdOfPath("/a/b/c", "/a/").empty());
    CHECK(jobIdOfPath("/a/b_C-1", "/a/") == "b_C-1");
    // An id that is not UTF-8 once ended every daemon that had the job.
    for (const auto* const id : { "\xff\xfe", "a\xc3\xa9", "a\"b", "a b", "a%ff", "a.b" })
        CHECK(jobIdOfPath(std::string("/a/") + id, "/a/").empty());
}
