#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fulmarpoint {

struct MeasuredPoint {
  double x = 0;
  double y = 0;
};

/// A quantity measured at several sizes, with the line of least squares through the points.
struct Slope {
  std::string role;
  std::string quantity;
  std::string x_unit;
  std::string y_unit;
  std::vector<MeasuredPoint> points;
};

/// Returns the slope's names, points, intercept, slope and coefficient of determination.
nlohmann::json ToJson(const Slope& slope);

}  // namespace fulmarpoint
