#include <criterion/criterion.h>

#include "table_printer.h"

using namespace fulmarpoint;

// Guards against misaligned columns when a field is missing or longer than its heading.
Test(table_printer, cells_are_aligned_and_absent_fields_marked) {
  const nlohmann::json rows = nlohmann::json::parse(
      R"([{"name":"engine-1","load":{"active":3}},{"name":"e2","versions":["v1","v2"]}])");
  const std::string text = ctl::FormatTable(rows, {"name", "load.active", "versions"});
  cr_assert_eq(text,
               "NAME      LOAD ACTIVE  VERSIONS\n"
               "engine-1  3            -\n"
               "e2        -            v1,v2\n");
}

Test(table_printer, nested_fields_are_named_by_their_path) {
  const nlohmann::json object = nlohmann::json::parse(R"({"a":1,"b":{"c":"x","d":null}})");
  cr_assert_eq(ctl::FormatFields(object), "a: 1\nb.c: x\nb.d: -\n");
}
