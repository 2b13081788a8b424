// SPDX-License-Identifier: Apache-2.0
#include "proxy/handover/sealed_memory.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

namespace copperpoint::proxy {
namespace {

constexpr int kSeals = F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_WRITE;

bool WriteAll(int descriptor, const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = ::write(descriptor, text.data() + written, text.size() - written);
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool ReadAll(int descriptor, std::string* text) {
  std::size_t read = 0;
  while (read < text->size()) {
    const ssize_t count =
        ::pread(descriptor, text->data() + read, text->size() - read, static_cast<off_t>(read));
    if (count <= 0) return false;
    read += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

OwnedDescriptor CreateSealedMemory(const std::string& text) {
  OwnedDescriptor file(::memfd_create("copperpoint-handover", MFD_CLOEXEC | MFD_ALLOW_SEALING));
  if (file.get() < 0) return OwnedDescriptor();
  if (!WriteAll(file.get(), text) || ::fcntl(file.get(), F_ADD_SEALS, kSeals) != 0) return OwnedDescriptor();
  return file;
}

std::optional<std::string> ReadSealedMemory(int descriptor, std::size_t max_bytes) {
  const int seals = ::fcntl(descriptor, F_GET_SEALS);
  if (seals < 0 || (seals & kSeals) != kSeals) return std::nullopt;
  struct stat status {};
  if (::fstat(descriptor, &status) != 0 || status.st_size < 0) return std::nullopt;
  const auto size = static_cast<std::size_t>(status.st_size);
  if (size > max_bytes) return std::nullopt;
  std::string text(size, '\0');
  if (!ReadAll(descriptor, &text)) return std::nullopt;
  return text;
}

}  // namespace copperpoint::proxy
