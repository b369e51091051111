// A voter's promises on disk: a file for each lease, written beside it, synced, renamed into place and synced
// again before save() returns true, so that it is found old or new and never in part.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "leases/voter.h"

namespace flintweir::node {

// What it needs of the disk; each call may fail. Files are named within the folder.
class Directory {
 public:
  virtual ~Directory() = default;
  virtual bool write(const std::string& name, std::string_view bytes) = 0;  // and syncs it
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual bool sync() = 0;
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
  // Throws std::runtime_error where the folder is another voter's or can't be read or written.
  PromiseStore(Directory& disk, const std::string& voter);
  // Nothing where the folder is new: what was promised before, if anything was, is not known.
  const std::optional<std::vector<Record>>& loaded() const { return kept_; }
  bool save(const Record& record) override;

 private:
  bool put(const std::string& name, const std::string& text);
  Directory& disk_;
  std::optional<std::vector<Record>> kept_;
};

}  // namespace flintweir::node
