#include <cornelshore/storage/file_hooks.hpp>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::storage {

namespace {

constexpr mode_t kPrivateFile = 0600;
constexpr const char* kBootIdFile = "/proc/sys/kernel/random/boot_id";

absl::Status
StatusOfErrno(std::string_view aOperation, int aError)
{
  const auto text = absl::StrCat(
    std::string(aOperation), ": ", std::generic_category().message(aError));
  switch (aError) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
      return absl::ResourceExhaustedError(text);
    case ENOENT:
      return absl::NotFoundError(text);
    case EWOULDBLOCK:
      return absl::FailedPreconditionError(text);
    default:
      return absl::UnavailableError(text);
  }
}

absl::StatusOr<std::vector<std::string>>
List(const std::string& aFolder)
{
  std::error_code error;
  std::filesystem::directory_iterator files(aFolder, error);
  if (error) {
    return StatusOfErrno("list the folder", error.value());
  }
  std::vector<std::string> names;
  for (; files != std::filesystem::directory_iterator();
       files.increment(error)) {
    if (error) {
      return StatusOfErrno("list the folder", error.value());
    }
    names.push_back(files->path().filename().string());
  }
  return names;
}

absl::StatusOr<std::string>
Read(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return StatusOfErrno("open file for reading", errno);
  }
  std::string content((std::istreambuf_iterator<char>(file)),
                      std::istreambuf_iterator<char>());
  if (file.bad()) {
    return StatusOfErrno("read file", EIO);
  }
  return content;
}

absl::StatusOr<int>
Create(const std::string& aPath)
{
  const auto handle = ::open(
    aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kPrivateFile);
  if (handle < 0) {
    return StatusOfErrno("create file", errno);
  }
  return handle;
}

absl::Status
Append(int aHandle, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto written = ::write(aHandle, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return StatusOfErrno("write", errno);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return absl::OkStatus();
}

absl::Status
Overwrite(int aHandle, std::string_view aBytes)
{
  const auto written = ::pwrite(aHandle, aBytes.data(), aBytes.size(), 0);
  if (written < 0) {
    return StatusOfErrno("overwrite", errno);
  }
  if (static_cast<std::size_t>(written) != aBytes.size()) {
    return absl::ResourceExhaustedError("overwrite: short write");
  }
  return absl::OkStatus();
}

absl::Status
Sync(int aHandle)
{
  if (::fsync(aHandle) != 0) {
    return absl::DataLossError(
      absl::StrCat("sync file: ", std::generic_category().message(errno)));
  }
  return absl::OkStatus();
}

void
Close(int aHandle)
{
  static_cast<void>(::close(aHandle));
}

absl::Status
Rename(const std::string& aFrom, const std::string& aTo)
{
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return StatusOfErrno("rename file", errno);
  }
  return absl::OkStatus();
}

absl::Status
Remove(const std::string& aPath)
{
  if (::unlink(aPath.c_str()) != 0) {
    return StatusOfErrno("remove file", errno);
  }
  return absl::OkStatus();
}

absl::StatusOr<int>
OpenFolder(const std::string& aFolder)
{
  const auto handle =
    ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) {
    return StatusOfErrno("open folder", errno);
  }
  return handle;
}

absl::Status
SyncFolder(const std::string& aFolder)
{
  auto handle = OpenFolder(aFolder);
  if (!handle.ok()) {
    return handle.status();
  }
  auto status = Sync(*handle);
  Close(*handle);
  return status;
}

absl::StatusOr<int>
Lock(const std::string& aFolder)
{
  auto handle = OpenFolder(aFolder);
  if (handle.ok() && ::flock(*handle, LOCK_EX | LOCK_NB) != 0) {
    const auto error = errno;
    Close(*handle);
    return StatusOfErrno("lock folder", error);
  }
  return handle;
}

std::uint64_t
BootId()
{
  const auto text = Read(kBootIdFile);
  return text.ok() && !text->empty() ? HashText(*text) : 0;
}

absl::StatusOr<std::uint64_t>
Size(const std::string& aPath)
{
  std::error_code error;
  const auto size = std::filesystem::file_size(aPath, error);
  if (error) {
    return StatusOfErrno("size of file", error.value());
  }
  return std::uint64_t{ size };
}

} // namespace

FileHooks
SystemFiles()
{
  return { List,   Read,   Create,     Append, Overwrite, Sync, Close,
           Rename, Remove, SyncFolder, Lock,   BootId,    Size };
}

} // namespace cornelshore::storage
