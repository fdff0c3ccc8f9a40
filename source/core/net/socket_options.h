// Socket options and helpers shared by all connections.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "core/common/time.h"

namespace cuminpath::net {

// Parses an address of the form IP:PORT; absent for anything else.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// Disables Nagle's algorithm and lets the kernel close an idle connection whose peer does not answer for 3 s.
// What the peer takes of the bytes that it is sent is the matter of send_watch. Errors are ignored: the
// options only shorten the time until a dead connection is detected.
void set_connection_options(asio::ip::tcp::socket& socket);
// Sets the same options on a socket that another library owns.
void set_connection_options(int handle);

// Lets the kernel close the connection if sent data stays unacknowledged, or the peer keeps its window
// closed, for `limit`. The kernel then takes a peer that reads slowly for one that is gone. An error is
// ignored.
void limit_unacknowledged_time(int handle, milliseconds limit);

// Makes a later close of the socket discard undelivered data and reset the connection. An error is ignored;
// the connection then ends in an orderly way.
void reset_on_close(asio::ip::tcp::socket& socket);

// Return the port of either end of a connection, or 0 if the socket is not connected.
std::uint16_t local_port(int handle);
std::uint16_t remote_port(int handle);
// Returns true if bytes have arrived that have not been read yet.
bool has_unread_bytes(int handle);

// Returns the read buffer of the calling thread. Its connections share it, so that idle connections need no
// buffers of their own.
std::span<char> read_buffer();

}  // namespace cuminpath::net
