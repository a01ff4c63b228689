#pragma once

#include <cstddef>

namespace fulmarpoint {

/// Limit on the memory, in bytes, that several users have reserved in total. Not thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : m_limit(limit) {}

  /// Replaces the limit. What is reserved stays reserved, also beyond a lower limit.
  void SetLimit(std::size_t limit) { m_limit = limit; }

  /// Reserves `bytes` and returns true, or returns false if the limit would be exceeded.
  bool TryReserve(std::size_t bytes) {
    if (m_reserved > m_limit || bytes > m_limit - m_reserved) return false;
    m_reserved += bytes;
    return true;
  }

  void Unreserve(std::size_t bytes) { m_reserved -= bytes; }
  std::size_t Reserved() const { return m_reserved; }

 private:
  std::size_t m_limit;
  std::size_t m_reserved = 0;
};

/// Bytes that one user has reserved from a budget. Releases them on destruction. The budget must
/// outlive it. Not thread-safe.
class ByteReservation {
 public:
  explicit ByteReservation(ByteBudget& budget) : m_budget(budget) {}
  ~ByteReservation() { m_budget.Unreserve(m_held); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Reserves `bytes` more and returns true, or returns false if the limit would be exceeded.
  bool TryReserve(std::size_t bytes) {
    if (!m_budget.TryReserve(bytes)) return false;
    m_held += bytes;
    return true;
  }

  /// Releases all reserved bytes.
  void Release() {
    m_budget.Unreserve(m_held);
    m_held = 0;
  }

 private:
  ByteBudget& m_budget;
  std::size_t m_held = 0;
};

}  // namespace fulmarpoint
