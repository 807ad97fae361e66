// HTTP/1.1 bodies: chunked framing, and a body type for Beast's parsers.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace asterdrift::node::http {

// Begins a chunk with `size` bytes, which follow. The chunk ends with kChunkEnd.
std::string chunk_head(std::size_t size);
constexpr std::string_view kChunkEnd = "\r\n";
// Frames bytes as one chunk of a chunked body.
std::string encode_chunk(const std::string& bytes);
// Ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A body whose bytes the caller removes from the parser as they arrive. Beast's string_body would allocate
// memory for the complete Content-Length at once.
struct IncrementalBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): Beast requires this name.
   public:
    template <bool kRequest, class Fields>
    reader(boost::beast::http::header<kRequest, Fields>&, std::string& bytes) : bytes_(bytes) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer = *it;
        bytes_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    std::string& bytes_;
  };
};

}  // namespace asterdrift::node::http
