#include "protocol/rollout_row.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/result_code.h"

namespace fulmarpoint {

std::string ToJson(const RolloutRow& row) {
  const nlohmann::json object = {{"rollout", row.rollout},
                                 {"service", row.service},
                                 {"from", row.from},
                                 {"to", row.to},
                                 {"phase", NameOf(kRolloutPhaseNames, row.phase)},
                                 {"reason", row.reason},
                                 {"regressed_after_done", row.regressed_after_done},
                                 {"controller_token", row.controller_token},
                                 {"deadline", row.deadline}};
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Parsed<RolloutRow> ParseRolloutRow(std::string_view text) {
  const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) {
    return ParseError{make_error_code(ResultCode::kInternal), "", 0, "must be valid JSON"};
  }
  FieldReader reader(object, "", nullptr);
  RolloutRow row;
  std::int64_t token = 0;
  reader.String("rollout", true, row.rollout);
  reader.String("service", true, row.service);
  reader.String("from", false, row.from, 0);
  reader.String("to", true, row.to);
  reader.Name("phase", kRolloutPhaseNames, row.phase);
  reader.String("reason", false, row.reason, 0);
  reader.Bool("regressed_after_done", row.regressed_after_done);
  reader.Integer("controller_token", true, 0, INT64_MAX, token);
  reader.Integer("deadline", false, 0, INT64_MAX, row.deadline);
  row.controller_token = static_cast<std::uint64_t>(token);
  if (reader.Finish()) return *reader.Finish();
  return row;
}

}  // namespace fulmarpoint
