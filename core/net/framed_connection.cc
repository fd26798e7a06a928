#include "core/net/framed_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

namespace boragecroft {

namespace asio = boost::asio;

namespace {

constexpr size_t kHeaderBytes = 4;
constexpr size_t kReadChunkBytes = 4096;
// A longer frame cannot come from a valid peer: the connection is closed.
constexpr uint32_t kMaxFrameBytes = 8U << 20U;
// Memory that a connection keeps for input between messages.
constexpr size_t kKeptBytes = 65536;
// Limit of the unsent bytes in the queue. When a peer does not read and a
// message would exceed the limit, the connection is closed.
constexpr size_t kMaxQueuedBytes = 8U << 20U;

auto FrameLength(const char* header) -> uint32_t {
  uint32_t n = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    n = (n << 8U) | static_cast<uint8_t>(header[i]);
  }
  return n;
}

}  // namespace

FramedConnection::FramedConnection(asio::ip::tcp::socket socket,
                                   Callbacks callbacks)
    : socket_(std::move(socket)),
      callbacks_(std::move(callbacks)),
      last_heard_(BootClock::now()),
      max_message_bytes_(kMaxFrameBytes) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

auto FramedConnection::Start() -> void {
  Read();
}

auto FramedConnection::Send(std::string_view message) -> void {
  if (!open_) {
    return;
  }
  if (queued_.size() + message.size() > kMaxQueuedBytes) {
    // Later, because the caller may still use what the callback removes.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->CloseWithError(asio::error::no_buffer_space);
    });
    return;
  }
  const auto capacity = queued_.capacity();
  const auto n = static_cast<uint32_t>(message.size());
  for (const auto shift : {24U, 16U, 8U, 0U}) {
    queued_.push_back(static_cast<char>((n >> shift) & 0xFFU));
  }
  queued_.append(message);
  if (queued_.capacity() > std::max(capacity, kKeptBytes)) {
    // Later, because the caller may still use what the callback removes.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->open_ && self->callbacks_.on_growth) {
        self->callbacks_.on_growth();
      }
    });
  }
  if (writing_.empty()) {
    Write();
  }
}

auto FramedConnection::SetMaxMessageBytes(uint32_t bytes) -> void {
  max_message_bytes_ = std::min(bytes, kMaxFrameBytes);
}

auto FramedConnection::HeldBytes() const -> size_t {
  return input_.capacity() + queued_.capacity() + writing_.capacity();
}

auto FramedConnection::Close() -> void {
  open_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

auto FramedConnection::Read() -> void {
  if (input_.size() < filled_ + kReadChunkBytes) {
    const auto capacity = input_.capacity();
    input_.resize(filled_ + kReadChunkBytes);
    if (input_.capacity() > std::max(capacity, kKeptBytes) &&
        callbacks_.on_growth) {
      callbacks_.on_growth();
    }
  } else if (input_.capacity() > kKeptBytes &&
             filled_ + kReadChunkBytes <= kKeptBytes) {
    input_.resize(filled_ + kReadChunkBytes);
    input_.shrink_to_fit();
  }
  socket_.async_read_some(
      asio::buffer(input_.data() + filled_, input_.size() - filled_),
      [self = shared_from_this()](boost::system::error_code ec, size_t n) {
        self->OnRead(ec, n);
      });
}

auto FramedConnection::OnRead(boost::system::error_code ec, size_t n) -> void {
  if (!open_) {
    return;
  }
  if (ec) {
    CloseWithError(ec);
    return;
  }
  last_heard_ = BootClock::now();
  filled_ += n;
  DeliverMessages();
  if (open_) {
    Read();
  }
}

auto FramedConnection::DeliverMessages() -> void {
  size_t at = 0;
  while (open_ && filled_ - at >= kHeaderBytes) {
    const auto n = FrameLength(input_.data() + at);
    if (n > max_message_bytes_) {
      CloseWithError(asio::error::message_size);
      return;
    }
    if (filled_ - at - kHeaderBytes < n) {
      break;
    }
    callbacks_.on_message(
        std::string_view(input_.data() + at + kHeaderBytes, n));
    at += kHeaderBytes + n;
  }
  if (at > 0) {
    std::memmove(input_.data(), input_.data() + at, filled_ - at);
    filled_ -= at;
  }
}

auto FramedConnection::Write() -> void {
  writing_.swap(queued_);
  queued_.clear();
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](boost::system::error_code ec, size_t) {
        self->writing_.clear();
        if (!self->open_) {
          return;
        }
        if (ec) {
          self->CloseWithError(ec);
        } else if (!self->queued_.empty()) {
          self->Write();
        } else if (self->HeldBytes() > 2 * kKeptBytes) {
          self->writing_ = std::string();
          self->queued_ = std::string();
        }
      });
}

auto FramedConnection::CloseWithError(boost::system::error_code ec) -> void {
  if (!open_) {
    return;
  }
  Close();
  // The callback may release the last reference to this connection.
  const auto callback = std::exchange(callbacks_.on_closed, nullptr);
  callback(ec);
}

}  // namespace boragecroft
