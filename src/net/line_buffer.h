// Bytes read and not yet passed on, in one fixed place; lines are looked at where they lie.
#pragma once

#include <array>
#include <cstring>
#include <optional>
#include <string_view>

namespace flintweir::net {

inline constexpr std::size_t kMaxLineBytes = 4096;

class LineBuffer {
 public:
  static constexpr std::size_t kCapacity = 2 * kMaxLineBytes;

  void clear() { begin_ = end_ = 0; }
  bool empty() const { return begin_ == end_; }
  bool full() const { return end_ - begin_ == bytes_.size(); }
  std::string_view buffered() const { return {bytes_.data() + begin_, end_ - begin_}; }
  // The first line from an offset into what is held, with its end; nothing where it is not whole yet.
  std::optional<std::string_view> line(std::size_t from = 0) const {
    const std::string_view rest = buffered().substr(from);
    const std::size_t end = rest.find('\n');
    if (end == rest.npos) return std::nullopt;
    return rest.substr(0, end + 1);
  }
  // Free space to read into; what is held moves to the front where there is none behind it.
  std::pair<char*, std::size_t> free_space() {
    if (begin_ == end_) begin_ = end_ = 0;
    if (end_ == bytes_.size() && begin_ > 0) compact();
    return {bytes_.data() + end_, bytes_.size() - end_};
  }
  // From here on what is held stays in its place until some of it is dropped.
  void compact() {
    std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  void commit(std::size_t n) { end_ += n; }
  void consume(std::size_t n) { begin_ += n; }

 private:
  std::array<char, kCapacity> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

inline std::string_view trim_line_end(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
  return line;
}

}  // namespace flintweir::net
