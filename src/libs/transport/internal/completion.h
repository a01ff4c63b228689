#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <tuple>

#include <boost/system/error_code.hpp>

namespace fulmarpoint::internal {

/// Completion token: the coroutine receives the error code as a value instead of an exception.
inline constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>> kCompletion{
    boost::asio::use_awaitable};

/// Result of a read or write: error and number of bytes.
using IoResult = std::tuple<boost::system::error_code, std::size_t>;

}  // namespace fulmarpoint::internal
