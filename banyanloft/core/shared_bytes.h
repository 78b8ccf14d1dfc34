#pragma once

#include <memory>
#include <string>
#include <utility>

namespace banyanloft {

/// An immutable byte string whose copies share its memory. Bodies of requests
/// are held by several parts of a daemon at the same time.
class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes)  // NOLINT(google-explicit-constructor)
      : bytes_(bytes.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(bytes))) {}
  SharedBytes(const char* bytes)  // NOLINT(google-explicit-constructor)
      : SharedBytes(std::string(bytes)) {}

  const std::string& Get() const {
    static const std::string kEmpty;
    return bytes_ ? *bytes_ : kEmpty;
  }
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return Get();
  }
  size_t size() const { return bytes_ ? bytes_->size() : 0; }
  bool empty() const { return bytes_ == nullptr; }

  friend bool operator==(const SharedBytes& a, const SharedBytes& b) {
    return a.Get() == b.Get();
  }
  friend bool operator!=(const SharedBytes& a, const SharedBytes& b) {
    return !(a == b);
  }

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace banyanloft
