#include "node/promise_store.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "numbers.h"

namespace flintweir::node {
namespace {

constexpr const char* kMarker = "voter";

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

// Of the text, so that one that a disk has spoilt is told from a good one.
std::string with_sum(const std::string& text) {
  std::uint64_t sum = 0xcbf29ce484222325;
  for (const char c : text) sum = mix(sum ^ static_cast<std::uint8_t>(c));
  char line[32];
  std::snprintf(line, sizeof line, "sum %016llx\n", static_cast<unsigned long long>(sum));
  return text + line;
}

std::string file_of(const std::string& lease) {
  std::string out = "lease-";
  char hex[3];
  for (const char c : lease) {
    std::snprintf(hex, sizeof hex, "%02x", static_cast<unsigned>(static_cast<std::uint8_t>(c)));
    out += hex;
  }
  return out;
}

std::string text_of(const leases::VoterStorage::Record& k) {
  const auto or_none = [](const std::string& s) { return s.empty() ? std::string("-") : s; };
  return with_sum("1 " + k.lease + ' ' + std::to_string(k.promised.value) + ' ' + or_none(k.promised_to) +
                  ' ' + std::to_string(k.granted.value) + ' ' + or_none(k.holder) + '\n');
}

std::optional<leases::VoterStorage::Record> kept_of(const std::string& text) {
  const std::size_t end = text.find('\n');
  if (end == text.npos || with_sum(text.substr(0, end + 1)) != text) return std::nullopt;
  std::istringstream in(text);
  leases::VoterStorage::Record k;
  int version = 0;
  if (!(in >> version >> k.lease >> k.promised.value >> k.promised_to >> k.granted.value >> k.holder) ||
      version != 1)
    return std::nullopt;
  if (k.promised_to == "-") k.promised_to.clear();
  if (k.holder == "-") k.holder.clear();
  return k;
}

}  // namespace

bool DiskDirectory::write(const std::string& name, std::string_view bytes) {
  const Descriptor file(::open((path_ + '/' + name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (file.get() < 0) return false;
  while (!bytes.empty()) {
    const ssize_t n = ::write(file.get(), bytes.data(), bytes.size());
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return ::fsync(file.get()) == 0;
}

bool DiskDirectory::rename(const std::string& from, const std::string& to) {
  return ::rename((path_ + '/' + from).c_str(), (path_ + '/' + to).c_str()) == 0;
}

bool DiskDirectory::sync() {
  const Descriptor folder(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder.get() >= 0 && ::fsync(folder.get()) == 0;
}

std::optional<std::string> DiskDirectory::read(const std::string& name) {
  std::ifstream in(path_ + '/' + name, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return in ? std::optional(text.str()) : std::nullopt;
}

std::vector<std::string> DiskDirectory::file_names() {
  std::vector<std::string> out;
  DIR* const folder = ::opendir(path_.c_str());
  if (!folder) throw std::runtime_error("leases.folder: " + path_ + " can't be read");
  while (const dirent* const e = ::readdir(folder)) out.emplace_back(e->d_name);
  ::closedir(folder);
  std::sort(out.begin(), out.end());
  return out;
}

PromiseStore::PromiseStore(Directory& disk, const std::string& voter) : disk_(disk) {
  const std::string own = with_sum("1 " + voter + '\n');
  const std::vector<std::string> names = disk.file_names();
  if (std::find(names.begin(), names.end(), kMarker) == names.end()) {
    if (!put(kMarker, own)) throw std::runtime_error("leases.folder can't be written");
    return;
  }
  if (disk.read(kMarker) != own) throw std::runtime_error("leases.folder is another voter's, or spoilt");
  kept_.emplace();
  for (const std::string& name : names) {
    if (!name.starts_with("lease-") || name.ends_with(".new")) continue;
    const auto text = disk.read(name);
    const auto one = text ? kept_of(*text) : std::nullopt;
    // Guards against a vote on what is no longer known: one bad file makes the whole folder untrusted.
    if (!one)
      throw std::runtime_error("leases.folder: " + name + " is spoilt; empty the folder to start without it");
    kept_->push_back(*one);
  }
}

bool PromiseStore::put(const std::string& name, const std::string& text) {
  return disk_.write(name + ".new", text) && disk_.rename(name + ".new", name) && disk_.sync();
}

bool PromiseStore::save(const Record& record) { return put(file_of(record.lease), text_of(record)); }

}  // namespace flintweir::node
