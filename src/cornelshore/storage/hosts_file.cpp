#include <cornelshore/storage/hosts_file.hpp>

#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>

namespace cornelshore::storage {

namespace {

constexpr const char* kHostsName = "hosts";
constexpr const char* kTemporarySuffix = ".tmp";

std::string
PathOf(const std::string& aFolder)
{
  return absl::StrCat(aFolder, "/", kHostsName);
}

absl::Status
WriteAndSync(const std::string& aPath,
             std::string_view aBytes,
             const FileHooks& aHooks)
{
  const auto handle = aHooks.create_(aPath);
  if (!handle.ok()) {
    return handle.status();
  }
  auto status = aHooks.append_(*handle, aBytes);
  if (status.ok()) {
    status = aHooks.sync_(*handle);
  }
  aHooks.close_(*handle);
  return status;
}

} // namespace

absl::Status
WriteHosts(const std::string& aFolder,
           const StoredHosts& aHosts,
           const FileHooks& aHooks)
{
  const auto bytes = EncodeHosts(aHosts);
  if (!bytes.ok()) {
    return bytes.status();
  }
  const auto path = PathOf(aFolder);
  const auto temporary = absl::StrCat(path, kTemporarySuffix);
  auto status = WriteAndSync(temporary, *bytes, aHooks);
  if (status.ok()) {
    status = aHooks.rename_(temporary, path);
  }
  if (!status.ok()) {
    static_cast<void>(aHooks.remove_(temporary));
    return status;
  }
  return aHooks.syncFolder_(aFolder);
}

absl::StatusOr<StoredHosts>
ReadHosts(const std::string& aFolder, const FileHooks& aHooks)
{
  const auto path = PathOf(aFolder);
  const auto size = aHooks.size_(path);
  if (!size.ok()) {
    return size.status();
  }
  if (*size > kMaxHostsBytes) {
    return absl::OutOfRangeError(absl::StrCat(
      "file hosts has ", *size, " bytes of at most ", kMaxHostsBytes));
  }
  const auto bytes = aHooks.read_(path);
  if (!bytes.ok()) {
    return bytes.status();
  }
  return DecodeHosts(*bytes);
}

} // namespace cornelshore::storage
