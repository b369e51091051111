// Stores the promises of a lease voter on disk, in one file for each lease. A new version is written to a
// temporary file, synced and renamed, and then the directory is synced before save() returns true. So after a
// crash the file holds the old or the new version, never part of one.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "leases/voter.h"

namespace flintweir::node {

// File operations on one directory. Each may fail: those that return bool then return false, read() returns
// nothing, and file_names() throws std::runtime_error.
class Directory {
 public:
  virtual ~Directory() = default;
  virtual bool write(const std::string& name, std::string_view bytes) = 0;  // and syncs the file
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool sync() = 0;  // the directory itself
  virtual std::optional<std::string> read(const std::string& name) = 0;
  virtual std::vector<std::string> file_names() = 0;
};

class DiskDirectory final : public Directory {
 public:
  explicit DiskDirectory(std::string path) : path_(std::move(path)) {}
  bool write(const std::string& name, std::string_view bytes) override;
  bool rename(const std::string& from, const std::string& to) override;
  bool sync() override;
  std::optional<std::string> read(const std::string& name) override;
  std::vector<std::string> file_names() override;

 private:
  std::string path_;
};

class PromiseStore final : public leases::VoterStorage {
 public:
  // Throws std::runtime_error if the directory belongs to another voter, holds a corrupted file, or cannot be
  // read or written. `directory` has to outlive the store.
  PromiseStore(Directory& directory, const std::string& voter);
  // The records found at the start. Unset if the directory was new: then it is unknown whether this voter has
  // made promises before.
  const std::optional<std::vector<Record>>& loaded() const { return loaded_; }
  bool save(const Record& record) override;

 private:
  bool replace_file(const std::string& name, const std::string& text);
  Directory& directory_;
  std::optional<std::vector<Record>> loaded_;
};

}  // namespace flintweir::node
