#pragma once

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <string>

#include "transport/http_message.h"

namespace fulmarpoint {

/// Checks the name and the execution of a problem document.
inline void ExpectProblem(const HttpReply& reply, const std::string& name,
                          const std::string& execution) {
  const nlohmann::json json = nlohmann::json::parse(reply.body, nullptr, false);
  cr_assert(json.is_object(), "%d %s", reply.status, reply.body.c_str());
  cr_assert_eq(json.value("name", ""), name, "%s", reply.body.c_str());
  cr_assert_eq(json.value("execution", ""), execution, "%s", reply.body.c_str());
}

}  // namespace fulmarpoint
