#include "linear_fit.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmarpoint {

namespace {

struct Line {
  double intercept = 0;
  double slope = 0;
  double r_squared = 1;
};

Line Fit(const std::vector<MeasuredPoint>& points) {
  const double count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const MeasuredPoint& point : points) {
    mean_x += point.x / count;
    mean_y += point.y / count;
  }
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (const MeasuredPoint& point : points) {
    xx += (point.x - mean_x) * (point.x - mean_x);
    xy += (point.x - mean_x) * (point.y - mean_y);
    yy += (point.y - mean_y) * (point.y - mean_y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = mean_y - line.slope * mean_x;
  line.r_squared = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  return line;
}

}  // namespace

nlohmann::json ToJson(const Slope& slope) {
  const Line line = Fit(slope.points);
  nlohmann::json points = nlohmann::json::array();
  for (const MeasuredPoint& point : slope.points)
    points.push_back({{"x", point.x}, {"y", point.y}});
  return {{"role", slope.role},     {"quantity", slope.quantity}, {"x_unit", slope.x_unit},
          {"y_unit", slope.y_unit}, {"points", points},           {"intercept", line.intercept},
          {"slope", line.slope},    {"r_squared", line.r_squared}};
}

}  // namespace fulmarpoint
