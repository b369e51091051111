// A fixed-size buffer for bytes that were read from a socket and not yet processed. Lines are parsed in
// place.
#pragma once

#include <array>
#include <cstring>
#include <optional>
#include <string_view>

namespace flintweir::net {

inline constexpr std::size_t kMaxLineBytes = 4096;  // with the line terminator

class LineBuffer {
 public:
  static constexpr std::size_t kCapacity = 2 * kMaxLineBytes;  // bytes

  void clear() { begin_ = end_ = 0; }
  bool empty() const { return begin_ == end_; }
  bool full() const { return end_ - begin_ == bytes_.size(); }
  // The unprocessed bytes; valid until the next call that is not const.
  std::string_view buffered() const { return {bytes_.data() + begin_, end_ - begin_}; }
  // The first line of the bytes from offset `from` on, with its terminator; empty while it is incomplete.
  std::optional<std::string_view> line(std::size_t from = 0) const {
    const std::string_view rest = buffered().substr(from);
    const std::size_t end = rest.find('\n');
    if (end == rest.npos) return std::nullopt;
    return rest.substr(0, end + 1);
  }
  // The free space behind the buffered bytes, to read into. Moves the bytes to the front where there is no
  // space left behind them.
  std::pair<char*, std::size_t> free_space() {
    if (begin_ == end_) begin_ = end_ = 0;
    if (end_ == bytes_.size() && begin_ > 0) compact();
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  // Moves the buffered bytes to the front. They stay at that address until some of them are consumed.
  void compact() {
    std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  void commit(std::size_t n) { end_ += n; }     // n bytes were read into free_space()
  void consume(std::size_t n) { begin_ += n; }  // n bytes from the front are processed

 private:
  std::array<char, kCapacity> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

// The line without its terminator.
inline std::string_view trim_line_end(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
  return line;
}

}  // namespace flintweir::net
