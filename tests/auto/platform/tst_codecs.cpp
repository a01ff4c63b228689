#include <criterion/criterion.h>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "platform/configuration_codec.h"
#include "platform/duty_api_codec.h"
#include "platform/relay_codec.h"
#include "platform/settings_file.h"

using namespace fulmarpoint;

namespace {

const char kSettings[] =
    "nodeName=front-a-1\nzone=a\nbindIp=10.1.0.19\nlisten.front=10.1.0.19:8740\n"
    "listen.ready=10.1.0.19:8749\nlisten.directory=10.1.0.19:8746\nportRange=7200,7215\n"
    "limits.cpuShare=0.25\nlimits.memoryMb=260\nlimits.maxFds=4100\nbounds.revokeMs=5000\nbounds."
    "graceS=8\nbounds.revokeStrict=true\n"
    "bounds.exposureShare=0.2\nbounds.exposureSlack=30\nbounds.ttl_max_s=5\nbounds.retryRatio=0."
    "8\nbounds.retrySlack=150\nbounds.retryWindowS=10\n"
    "platform.address=10.200.1.7:8742\nsomething.new=1,2\n";

std::string Without(const std::string& key) {
  std::string text = kSettings;
  const std::size_t at = text.find(key + "=");
  return text.erase(at, text.find('\n', at) + 1 - at);
}

std::string Row(const std::string& changed = "", const std::string& value = "") {
  nlohmann::json row = {
      {"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "a"}, {"version", "v1"},
      {"slots", 8},     {"state", "ready"},         {"seq", 4},    {"born", 1234}};
  if (!changed.empty() && value.empty()) row.erase(changed);
  if (!changed.empty() && !value.empty()) row[changed] = nlohmann::json::parse(value);
  return row.dump();
}

}  // namespace

// Guards against a daemon that starts with incomplete settings, or rejects unknown keys.
Test(settings_file, missing_and_malformed_keys_are_named) {
  const Parsed<platform::PlatformSettings> parsed =
      platform::ParsePlatformSettings(kSettings, 9464);
  cr_assert(parsed.Ok());
  cr_assert(parsed.Value().relay.peer_address == "10.1.0.19:7200");
  cr_assert(parsed.Value().relay.metrics_address == "10.1.0.19:9464");
  cr_assert_eq(parsed.Value().relay.max_connections, 3900u);
  cr_assert_eq(parsed.Value().relay.exposure_share, 0.2);
  cr_assert_eq(parsed.Value().relay.exposure_slack, 30.0);
  for (const char* key : {"nodeName", "zone", "listen.front", "platform.address", "limits.maxFds",
                          "bounds.revokeMs", "bounds.revokeStrict", "portRange"}) {
    const Parsed<platform::PlatformSettings> failed =
        platform::ParsePlatformSettings(Without(key), 0);
    cr_assert_not(failed.Ok());
    cr_assert(failed.Error().key == key);
  }
  cr_assert(parsed.Value().relay.when_freshness_expired == ExpiredConfigurationPolicy::kReject);
  const std::string lenient = Without("bounds.revokeStrict") + "bounds.revokeStrict=false\n";
  const Parsed<platform::PlatformSettings> serving = platform::ParsePlatformSettings(lenient, 0);
  cr_assert(serving.Value().relay.when_freshness_expired == ExpiredConfigurationPolicy::kServe);
  const std::string unclear = Without("bounds.revokeStrict") + "bounds.revokeStrict=0\n";
  cr_assert(platform::ParsePlatformSettings(unclear, 0).Error().key == "bounds.revokeStrict");
  const std::string text = Without("bounds.graceS") + "bounds.graceS=soon\n";
  const Parsed<platform::PlatformSettings> malformed = platform::ParsePlatformSettings(text, 0);
  cr_assert(malformed.Error().key == "bounds.graceS");
  cr_assert_eq(malformed.Error().line, std::count(text.begin(), text.end(), '\n'));
}

// Guards against malformed rows that are taken for endpoints.
Test(configuration_codec, malformed_endpoint_rows_are_ignored) {
  const std::optional<EndpointRecord> record = platform::ParseEndpoint("i-1", Row());
  cr_assert(record.has_value());
  cr_assert_eq(record->incarnation, 1234);
  cr_assert_not(record->draining);
  cr_assert(platform::ParseEndpoint("i-1", Row("state", "\"draining\""))->draining);
  cr_assert(platform::ParseEndpoint("i-1", Row("born")).has_value());
  for (const char* key : {"service", "address", "zone", "version", "slots", "state", "seq"}) {
    cr_assert_not(platform::ParseEndpoint("i-1", Row(key)).has_value(), "%s", key);
    cr_assert_not(platform::ParseEndpoint("i-1", Row(key, "[]")).has_value(), "%s", key);
  }
  cr_assert_not(platform::ParseEndpoint("i-1", Row("state", "\"asleep\"")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", Row("address", "\"nowhere\"")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", Row("slots", "0")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", "[1]").has_value());
  for (const char* slots : {"8.5", "true", "4294967304", "1e300", "\"8\"", "null"}) {
    cr_assert_not(platform::ParseEndpoint("i-1", Row("slots", slots)).has_value(), "%s", slots);
  }
  for (const char* start : {"12.5", "true", "\"12\"", "null", "1e300"}) {
    cr_assert_not(platform::ParseEndpoint("i-1", Row("born", start)).has_value(), "%s", start);
  }
  cr_assert_not(platform::ParseEndpoint("i-1", Row("seq", "false")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", Row("seq", "1.5")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", Row("zone", "\"\"")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", Row("coldLeftMs", "\"0\"")).has_value());
  cr_assert(platform::ParseEndpoint("i-1", Row("coldLeftMs", "250")).has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", "\xff\xfe{").has_value());
  cr_assert_not(platform::ParseEndpoint("i-1", std::string(20000, '[')).has_value());
}

// Guards against requests that cannot be sent because their endpoint's identifier is no header
// value.
Test(configuration_codec, endpoints_whose_identifier_cannot_be_sent_are_ignored) {
  for (const char* id : {"", "i 1", "i\r\nX: 1", "i\x01", "i\xc3\xa9"}) {
    cr_assert_not(platform::ParseEndpoint(id, Row()).has_value(), "%s", id);
  }
}

// Guards against retries on a route of unknown kind, and against a configuration that is applied in
// part.
Test(configuration_codec, configurations_are_parsed_completely_or_rejected) {
  const std::string head = R"({"version":7,"services":[],"routes":[{"name":"r","host":"h",)"
                           R"("prefix":"/p/","kind":"strange",)";
  const std::optional<RelayConfiguration> configuration = platform::ParseConfiguration(
      head + R"("split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]})");
  cr_assert(configuration.has_value());
  cr_assert_eq(configuration->routes[0].retryability, Retryability::kNonIdempotent);
  cr_assert_eq(configuration->routes[0].targets.size(), 2u);
  cr_assert(configuration->routes[0].requires_api_key);
  cr_assert_not(configuration->has_organisations);
  cr_assert_not(platform::ParseConfiguration(head + R"("x":1}]})").has_value());
  cr_assert_not(platform::ParseConfiguration("{}").has_value());
  cr_assert_not(platform::ParseConfiguration("").has_value());
}

// Guards against malformed fields that are accepted with another meaning.
Test(relay_codec, caller_fields_are_checked) {
  const RelayWire wire = platform::MakeRelayWire();
  const HttpHeaders good = {{"Fulmarpoint-Request-Id", "r"},
                            {"fulmarpoint-deadline-ms", "250"},
                            {"Fulmarpoint-Token-Count", "1460,80"},
                            {"Fulmarpoint-Prompt-Prefix", "5c1e07a2:800,ff:660"},
                            {"Authorization", "Bearer k"}};
  const std::optional<CallerFields> fields = wire.decode_caller(good);
  cr_assert(fields.has_value());
  cr_assert_eq(fields->deadline->count(), 250000);
  cr_assert_eq(fields->prompt_tokens, 1460);
  cr_assert_eq(fields->max_output_tokens, 80);
  cr_assert_eq(fields->prompt.back().id, 0xffu);
  cr_assert(fields->api_key == "k");
  for (const HttpHeader& bad : HttpHeaders{{"Fulmarpoint-Deadline-Ms", "-1"},
                                           {"Fulmarpoint-Deadline-Ms", "soon"},
                                           {"Fulmarpoint-Token-Count", "5"},
                                           {"Last-Event-Id", "x"}}) {
    cr_assert_not(wire.decode_caller({{"Fulmarpoint-Request-Id", "r"}, bad}).has_value());
  }
  cr_assert_not(wire.decode_caller({}).has_value());
  cr_assert(wire.is_reserved("KV-FROM"));
  cr_assert_not(wire.is_reserved("Fulmarpoint-Length-Hint"));
}

// Guards against endpoints that get requests before they want any, and against a reply that makes
// one unusable for good.
Test(relay_codec, retry_after_is_read_from_rejections) {
  const RelayWire wire = platform::MakeRelayWire();
  const auto read = [&wire](int status, const char* text) {
    return wire.decode_answer(status, {{"Retry-After", text}}).retry_after;
  };
  cr_assert(read(503, "2") == std::chrono::seconds(2));
  cr_assert(read(503, "0.25") == std::chrono::milliseconds(250));
  cr_assert(read(503, "1e300") == std::chrono::hours(1));
  cr_assert_not(read(200, "2"));
  for (const char* text :
       {"", "0", "-1", "nan", "inf", "soon", "Sat, 05 Dec 2026 03:00:00 GMT", "2s"}) {
    cr_assert_not(read(503, text), "%s", text);
  }
}

// Guards against a brittle endpoint that is not recognised, and against a malformed statement that
// makes one of a sound endpoint.
Test(relay_codec, a_brittle_endpoint_states_its_limit_in_each_reply) {
  const RelayWire wire = platform::MakeRelayWire();
  for (int status : {200, 500, 503}) {
    cr_assert_eq(*wire.decode_answer(status, {{"Server-Brittle", "12"}}).rejection_limit, 12);
  }
  cr_assert_eq(*wire.decode_answer(200, {{"server-brittle", "0"}}).rejection_limit, 0);
  cr_assert_not(wire.decode_answer(200, {}).rejection_limit);
  for (const char* text : {"", "-1", "1.5", "yes", "12 ", "99999999999"}) {
    cr_assert_not(wire.decode_answer(200, {{"Server-Brittle", text}}).rejection_limit, "%s", text);
  }
}

// Guards against load reports that are dropped because an endpoint states more than is known, and
// against a pace that no endpoint can have.
Test(relay_codec, load_reports_may_have_a_pace_and_more_figures) {
  const RelayWire wire = platform::MakeRelayWire();
  const auto load = [&wire](const std::string& text) {
    return wire.decode_answer(200, {{"Fulmarpoint-Server-Load", text}}).load;
  };
  cr_assert_eq(load("3,1,16")->waiting, 1);
  cr_assert_not(load("3,1,16")->pace.has_value());
  cr_assert_eq(load("3,1,16,60")->running, 3);
  cr_assert_float_eq(*load("3,1,16,60")->pace, 0.6, 1e-9);
  cr_assert_float_eq(*load("3,1,16,250,7,x")->pace, 2.5, 1e-9);
  for (const char* pace : {"0", "-5", "fast", "", "1e9", "nan", "inf", "0.5"}) {
    const std::optional<EndpointLoad> report = load(std::string("3,1,16,") + pace);
    cr_assert(report.has_value(), "%s", pace);
    cr_assert_not(report->pace.has_value(), "%s", pace);
  }
  for (const char* text : {"", "3,1", "3,x,16,60", "3,1,,60"}) {
    cr_assert_not(load(text).has_value(), "%s", text);
  }
}

// Guards against duties that run where the settings name none, or without the API's address.
Test(settings_file, duties_are_enabled_by_the_settings) {
  const auto duties = [](const std::string& more) {
    const Parsed<platform::PlatformSettings> parsed =
        platform::ParsePlatformSettings(kSettings + more, 0);
    cr_assert(parsed.Ok());
    return parsed.Value().relay.duties;
  };
  cr_assert_not(duties("").IsEnabled());
  cr_assert_not(duties("cloud.address=10.200.0.70:8181\ncloud.duties=\n").IsEnabled());
  cr_assert_not(duties("cloud.address=10.200.0.70:8181\ncloud.duties=unknown\n").IsEnabled());
  cr_assert_not(duties("cloud.duties=usage_report\n").IsEnabled());
  const DutySettings spaced =
      duties("cloud.address=10.200.0.70:8181\ncloud.duties=usage_report, autoscale\n");
  cr_assert(spaced.reports_usage && spaced.orders_engines, "with a space after the comma");
  const DutySettings enabled = duties(
      "cloud.address=10.200.0.70:8181\ncloud.duties=usage_report,autoscale\n"
      "cloud.dutyPerS=20.0\nbounds.leaseMs=4000\nbounds.reportWindowS=5\nbounds.usageLateS=9\n");
  cr_assert(enabled.reports_usage && enabled.orders_engines && enabled.IsEnabled());
  cr_assert_eq(enabled.calls_per_second, 20.0);
  cr_assert(enabled.lease_time == std::chrono::seconds(4));
  cr_assert(enabled.usage_window == std::chrono::seconds(5));
  cr_assert(enabled.usage_due == std::chrono::seconds(9));
}

// Guards against calls for a duty that the platform does not understand.
Test(duty_api_codec, calls_have_the_platforms_form) {
  const DutyApi api = platform::MakeDutyApi();
  const DutyIdentity caller{"front-a-1", 12};
  const HttpClientRequest report = api.encode_usage_report(caller, {77, {{"o1", 3}, {"o2", 4}}});
  cr_assert(report.method == "POST" && report.target == "/usage");
  cr_assert(FindHeader(report.headers, "Fulmarpoint-Duty-Holder") == "front-a-1");
  cr_assert(FindHeader(report.headers, "Fulmarpoint-Fence-Token") == "12");
  cr_assert(report.body == R"({"counts":{"o1":3,"o2":4},"window":77})");
  const HttpClientRequest order = api.encode_engine_order(caller, {"s", "a", 6});
  cr_assert(order.target == "/scale");
  cr_assert(order.body == R"({"desired":6,"service":"s","zone":"a"})");
  cr_assert(api.decode_result(200) == DutyCallResult::kAccepted);
  cr_assert(api.decode_result(409) == DutyCallResult::kFenced);
  cr_assert(api.decode_result(429) == DutyCallResult::kThrottled);
  cr_assert(api.decode_result(503) == DutyCallResult::kRefused);
}
