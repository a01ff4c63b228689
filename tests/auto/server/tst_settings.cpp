#include <criterion/criterion.h>

#include "http_api/url.h"
#include "server/settings.h"

using namespace fulmarpoint;

namespace {

const char kValid[] = R"(keep_seconds = 5

[daemon]
name = "d1"
failure_domain = "buda-a"

[listen]
http = "127.0.0.1:8080"
peer = "127.0.0.1:8081"

[platform]
tables = "127.0.0.1:9000"
objects = "127.0.0.1:9000"
instances = "127.0.0.1:9000"

[secrets]
shared_key = "0123456789abcdef0123456789abcdef"
)";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

Test(settings, valid_file_is_read) {
  const Parsed<Settings> settings = ParseSettings(kValid);
  cr_assert(settings.Ok(), "%s", settings.Ok() ? "" : Describe(settings.Error()).c_str());
  cr_assert_eq(settings.Value().daemon.failure_domain, "buda-a");
  cr_assert_eq(settings.Value().keep_seconds, 5);
}

// Guards against settings that are ignored because a key is misspelled or in the wrong table.
Test(settings, invalid_settings_are_rejected) {
  const Parsed<Settings> unknown = ParseSettings(Replace(kValid, "name =", "nam ="));
  cr_assert_not(unknown.Ok());
  const Parsed<Settings> extra = ParseSettings(std::string(kValid) + "extra = 1\n");
  cr_assert_eq(extra.Error().key, "secrets.extra");
  cr_assert_eq(extra.Error().line, 18);
  const Parsed<Settings> address = ParseSettings(Replace(kValid, "127.0.0.1:8080", "localhost:1"));
  cr_assert_eq(address.Error().key, "listen.http");
  cr_assert_eq(address.Error().line, 8);
  const Parsed<Settings> range = ParseSettings(Replace(kValid, "= 5", "= 0"));
  cr_assert_eq(range.Error().key, "keep_seconds");
}

Test(url, parameters_are_decoded_and_controls_rejected) {
  cr_assert_eq(*QueryParameter("/v1/lookup?a=1&service=x%20y", "service"), "x y");
  cr_assert_not(QueryParameter("/v1/lookup?services=x", "service").has_value());
  cr_assert_not(PercentDecode("%0a").has_value());
  cr_assert_not(PercentDecode("%4").has_value());
  cr_assert_eq(PercentEncode("a/b c"), "a%2Fb%20c");
}
