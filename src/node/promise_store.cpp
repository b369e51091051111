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

// Names the voter to which the directory belongs.
constexpr const char* kVoterFile = "voter";

// Closes a file descriptor at the end of its scope.
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

// Appends a line with a checksum, by which a file that the disk has corrupted is detected.
std::string with_checksum(const std::string& text) {
  std::uint64_t checksum = 0xcbf29ce484222325;
  for (const char c : text) checksum = mix(checksum ^ static_cast<std::uint8_t>(c));
  char line[32];
  std::snprintf(line, sizeof line, "sum %016llx\n", static_cast<unsigned long long>(checksum));
  return text + line;
}

// The name of the file for a lease; the lease's name is in hexadecimal.
std::string file_name(const std::string& lease) {
  std::string out = "lease-";
  char hex[3];
  for (const char c : lease) {
    std::snprintf(hex, sizeof hex, "%02x", static_cast<unsigned>(static_cast<std::uint8_t>(c)));
    out += hex;
  }
  return out;
}

std::string encode_record(const leases::VoterStorage::Record& record) {
  const auto or_none = [](const std::string& s) { return s.empty() ? std::string("-") : s; };
  return with_checksum("1 " + record.lease + ' ' + std::to_string(record.promised.value) + ' ' +
                       or_none(record.promised_to) + ' ' + std::to_string(record.granted.value) + ' ' +
                       or_none(record.holder) + '\n');
}

std::optional<leases::VoterStorage::Record> decode_record(const std::string& text) {
  const std::size_t end = text.find('\n');
  if (end == text.npos || with_checksum(text.substr(0, end + 1)) != text) return std::nullopt;
  std::istringstream in(text);
  leases::VoterStorage::Record record;
  int version = 0;
  if (!(in >> version >> record.lease >> record.promised.value >> record.promised_to >>
        record.granted.value >> record.holder) ||
      version != 1)
    return std::nullopt;
  if (record.promised_to == "-") record.promised_to.clear();
  if (record.holder == "-") record.holder.clear();
  return record;
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
  const Descriptor directory(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory.get() >= 0 && ::fsync(directory.get()) == 0;
}

std::optional<std::string> DiskDirectory::read(const std::string& name) {
  std::ifstream in(path_ + '/' + name, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return in ? std::optional(text.str()) : std::nullopt;
}

std::vector<std::string> DiskDirectory::file_names() {
  std::vector<std::string> out;
  DIR* const directory = ::opendir(path_.c_str());
  if (!directory) throw std::runtime_error("leases.folder: " + path_ + " cannot be read");
  while (const dirent* const entry = ::readdir(directory)) out.emplace_back(entry->d_name);
  ::closedir(directory);
  std::sort(out.begin(), out.end());
  return out;
}

PromiseStore::PromiseStore(Directory& directory, const std::string& voter) : directory_(directory) {
  const std::string voter_file = with_checksum("1 " + voter + '\n');
  const std::vector<std::string> names = directory.file_names();
  if (std::find(names.begin(), names.end(), kVoterFile) == names.end()) {
    if (!replace_file(kVoterFile, voter_file)) throw std::runtime_error("leases.folder cannot be written");
    return;
  }
  if (directory.read(kVoterFile) != voter_file)
    throw std::runtime_error("leases.folder belongs to another voter or is corrupted");
  loaded_.emplace();
  for (const std::string& name : names) {
    if (!name.starts_with("lease-") || name.ends_with(".new")) continue;
    const auto text = directory.read(name);
    const auto record = text ? decode_record(*text) : std::nullopt;
    // One corrupted file makes the whole directory untrusted. Otherwise this voter could vote contrary to a
    // promise that it no longer knows.
    if (!record)
      throw std::runtime_error("leases.folder: " + name +
                               " is corrupted; empty the folder to start without its records");
    loaded_->push_back(*record);
  }
}

bool PromiseStore::replace_file(const std::string& name, const std::string& text) {
  return directory_.write(name + ".new", text) && directory_.rename(name + ".new", name) && directory_.sync();
}

bool PromiseStore::save(const Record& record) {
  return replace_file(file_name(record.lease), encode_record(record));
}

}  // namespace flintweir::node
