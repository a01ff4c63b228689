#include "server/request_checks.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "http_api/url.h"
#include "protocol/field_reader.h"
#include "server/api_key.h"
#include "server/catalogue_view.h"

namespace fulmarpoint {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::size_t kMaxTokenBytes = 4096;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::string_view kServicesPath = "/v1/services/";

// Headers that concern only one connection, or that are meant for this daemon.
constexpr std::array<std::string_view, 13> kNotForwarded = {
    "connection",        "keep-alive", "proxy-connection",
    "transfer-encoding", "te",         "trailer",
    "upgrade",           "host",       "content-length",
    "authorization",     "expect",     "x-request-id",
    "idempotency-key"};

Rejection BadRequest(const std::string& detail) { return {ResultCode::kBadRequest, detail, {}}; }

bool IsForwarded(const HttpHeader& header) {
  std::string name = header.name;
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return std::find(kNotForwarded.begin(), kNotForwarded.end(), name) == kNotForwarded.end();
}

/// Moves a string of any length out of the body, because `FieldReader` limits strings to 1 KiB.
std::optional<std::string> TakeText(Json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end() || !found->is_string()) return std::nullopt;
  std::string text = std::move(found->get_ref<std::string&>());
  body.erase(found);
  return text;
}

bool TakeTokens(Json& body, std::vector<std::string>& tokens) {
  const auto found = body.find("prefix_tokens");
  if (found == body.end()) return true;
  if (!found->is_array()) return false;
  for (Json& item : *found) {
    if (!item.is_string() || item.get_ref<const std::string&>().size() > kMaxTokenBytes)
      return false;
    tokens.push_back(std::move(item.get_ref<std::string&>()));
  }
  body.erase(found);
  return true;
}

std::uint64_t RandomSeed() {
  // The seed is sent in JSON, where integers are exact only up to 2^53.
  return NewRequestId().low >> 11;
}

std::optional<Rejection> ReadFields(Json& body, GenerationRequest& request) {
  std::optional<std::string> prompt = TakeText(body, "prompt");
  if (!prompt) return BadRequest("prompt: is required and must be a string");
  request.prompt = std::move(*prompt);
  if (!TakeTokens(body, request.prefix_tokens)) {
    return BadRequest("prefix_tokens: must be a list of strings of at most 4096 bytes");
  }
  FieldReader reader(body, "", nullptr);
  std::string service;
  std::int64_t max_tokens = 0;
  std::int64_t seed = static_cast<std::int64_t>(RandomSeed());
  reader.String("service", true, service);
  reader.Integer("max_tokens", true, 1, kMaxTokens, max_tokens);
  reader.Integer("seed", false, 0, INT64_MAX, seed);
  reader.String("adapter", false, request.adapter);
  if (const std::optional<ParseError>& error = reader.Finish()) return BadRequest(Describe(*error));
  request.max_tokens = static_cast<std::uint64_t>(max_tokens);
  request.seed = static_cast<std::uint64_t>(seed);
  return std::nullopt;
}

std::optional<Rejection> ReadResume(const Services& services, const HttpHeaders& headers,
                                    GenerationRequest& request) {
  const std::optional<std::string_view> id = FindHeader(headers, "Last-Event-ID");
  if (!id) return std::nullopt;
  request.resume = services.event_ids.Decode(*id, request.organisation);
  if (!request.resume) {
    return Rejection{ResultCode::kBadEventId,
                     "Last-Event-ID was not issued for this organisation; send an id as received",
                     {}};
  }
  request.id = request.resume->request;
  request.seed = request.resume->seed;
  return std::nullopt;
}

bool IsIdempotent(const CatalogueEntry& entry, const std::string& method, std::string_view path) {
  return std::any_of(entry.idempotent_routes.begin(), entry.idempotent_routes.end(),
                     [&](const std::string& route) {
                       const std::size_t space = route.find(' ');
                       if (route.substr(0, space) != method) return false;
                       const std::string_view prefix = std::string_view(route).substr(space + 1);
                       if (path.substr(0, prefix.size()) != prefix) return false;
                       // "/orders" covers "/orders/1" but not "/orders-archive".
                       return path.size() == prefix.size() || prefix.back() == '/' ||
                              path[prefix.size()] == '/';
                     });
}

bool HasDotSegment(std::string_view path) {
  for (std::size_t start = 0; start < path.size();) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string_view segment = path.substr(start, end - start);
    if (segment == "." || segment == "..") return true;
    start = end + 1;
  }
  return false;
}

std::optional<Rejection> ReadKey(const HttpRequest& request, CallRequest& call) {
  const std::optional<std::string_view> key = FindHeader(request.headers, "Idempotency-Key");
  if (key) call.idempotency_key = *key;
  if (call.idempotency_key.size() > kMaxKeyBytes) {
    return BadRequest("Idempotency-Key: must have at most 200 bytes");
  }
  if (!call.idempotent_route && call.idempotency_key.empty()) {
    return Rejection{ResultCode::kKeyRequired,
                     "send an Idempotency-Key, or list the route as idempotent in the catalogue",
                     {}};
  }
  return std::nullopt;
}

}  // namespace

RequestId NewRequestId() {
  thread_local std::random_device device;
  const auto draw = []() { return (std::uint64_t{device()} << 32) | device(); };
  RequestId id;
  id.high = draw();
  id.low = draw();
  return id;
}

Checked<Caller> CheckCaller(const Services& services, const HttpHeaders& headers,
                            const std::string& service) {
  const std::shared_ptr<const CatalogueSnapshot> catalogue = services.catalogue.Current();
  const std::optional<std::string> hash = KeyHashOf(headers);
  if (!hash) {
    return Rejection{
        ResultCode::kUnauthorized, "send the API key as Authorization: Bearer KEY", {}};
  }
  const ServiceEntryPtr entry = catalogue->Find(service);
  const OrganisationAccess* access = entry ? entry->FindKey(*hash) : nullptr;
  if (access != nullptr) {
    return Caller{entry->entry, access->organisation, access->weight, access->max_concurrent};
  }
  if (!catalogue->HasKey(*hash)) {
    // A daemon without a catalogue has no keys to compare with; another daemon can answer.
    if (catalogue->revision == 0) {
      return Rejection{ResultCode::kStale, "this daemon has no catalogue yet; use another daemon",
                       std::chrono::seconds(1)};
    }
    return Rejection{ResultCode::kUnauthorized, "the API key is unknown", {}};
  }
  if (!entry)
    return Rejection{ResultCode::kUnknownService, "service " + service + " is not known", {}};
  return Rejection{ResultCode::kForbidden, "the API key gives no access to service " + service, {}};
}

Checked<GenerationRequest> CheckGeneration(const Services& services, const HttpRequest& request) {
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return BadRequest("the body must be a JSON object");
  const auto service = body.find("service");
  if (service == body.end() || !service->is_string()) {
    return BadRequest("service: is required and must be a string");
  }
  const Checked<Caller> checked =
      CheckCaller(services, request.headers, service->get<std::string>());
  if (const Rejection* rejection = std::get_if<Rejection>(&checked)) return *rejection;
  const Caller& caller = std::get<Caller>(checked);
  if (caller.entry->kind != ServiceKind::kModel) {
    return BadRequest("service: " + caller.entry->service + " is not a model service");
  }
  if (request.body.size() > caller.entry->limits.max_body_bytes) {
    return Rejection{ResultCode::kTooLarge, "the body exceeds max_body_bytes of the service", {}};
  }
  GenerationRequest generation;
  generation.id = NewRequestId();
  generation.entry = caller.entry;
  generation.organisation = caller.organisation;
  generation.weight = caller.weight;
  generation.max_concurrent = caller.max_concurrent;
  if (std::optional<Rejection> rejection = ReadFields(body, generation)) return *rejection;
  if (std::optional<Rejection> rejection = ReadResume(services, request.headers, generation)) {
    return *rejection;
  }
  generation.fingerprint =
      FingerprintOf(caller.organisation, caller.entry->service,
                    generation.adapter + std::string(1, '\0') + generation.prompt);
  generation.deadline = SteadyNow() + caller.entry->limits.deadline;
  return generation;
}

Checked<CallRequest> CheckCall(const Services& services, const HttpRequest& request) {
  const std::string_view rest = std::string_view(request.target).substr(kServicesPath.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const std::optional<std::string> service = PercentDecode(rest.substr(0, end));
  if (!service || service->empty()) return BadRequest("the path must be /v1/services/SERVICE/PATH");
  const Checked<Caller> checked = CheckCaller(services, request.headers, *service);
  if (const Rejection* rejection = std::get_if<Rejection>(&checked)) return *rejection;
  const Caller& caller = std::get<Caller>(checked);
  if (caller.entry->kind != ServiceKind::kApplication) {
    return BadRequest("service " + *service + " is not an application service");
  }
  if (request.body.size() > caller.entry->limits.max_body_bytes) {
    return Rejection{ResultCode::kTooLarge, "the body exceeds max_body_bytes of the service", {}};
  }
  CallRequest call;
  call.id = NewRequestId();
  call.entry = caller.entry;
  call.organisation = caller.organisation;
  call.weight = caller.weight;
  call.max_concurrent = caller.max_concurrent;
  call.method = request.method;
  call.target = std::string(rest.substr(end));
  if (call.target.empty() || call.target.front() != '/') call.target.insert(0, "/");
  // The endpoint may decode and resolve the path, so the idempotent prefix is compared decoded and
  // without dot segments; otherwise "/safe/../orders" would count as idempotent.
  const std::optional<std::string> path = PercentDecode(PathOf(call.target));
  if (!path || HasDotSegment(*path)) {
    return BadRequest("the path must be valid and have no segments . or ..");
  }
  call.idempotent_route = IsIdempotent(*caller.entry, call.method, *path);
  if (std::optional<Rejection> rejection = ReadKey(request, call)) return *rejection;
  std::copy_if(request.headers.begin(), request.headers.end(), std::back_inserter(call.headers),
               IsForwarded);
  call.fingerprint =
      FingerprintOf(caller.organisation, caller.entry->service,
                    call.method + " " + call.target + std::string(1, '\0') + request.body);
  call.body = request.body;
  call.deadline = SteadyNow() + caller.entry->limits.deadline;
  return call;
}

}  // namespace fulmarpoint
