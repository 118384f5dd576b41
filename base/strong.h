// Strong types for identifiers and quantities.
//
// With plain strings and integers, code that mixes up a customer id and a route
// id, or tokens and bytes, compiles without a warning. StrongId and Quantity
// give each kind a type of its own, so that such a mix-up is a compile error.
// Both cost no more than the type that they wrap.
#ifndef BASE_STRONG_H_
#define BASE_STRONG_H_

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mimosa {

// An opaque identifier. StrongIds with different tags don't convert into each
// other. The empty id means "none".
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StrongId& a, const StrongId& b) {
    return !(a == b);
  }
  friend bool operator<(const StrongId& a, const StrongId& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& os, const StrongId& id) {
    return os << id.value_;
  }

 private:
  std::string value_;
};

// A signed 64-bit amount of one unit that can be added and compared and isn't
// converted implicitly. Callers must exclude overflow; the limits in
// wire/catalogue.proto keep all amounts far below 2^63.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  constexpr Quantity& operator+=(Quantity other) {
    count_ += other.count_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    count_ -= other.count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  friend constexpr bool operator==(Quantity a, Quantity b) {
    return a.count_ == b.count_;
  }
  friend constexpr bool operator!=(Quantity a, Quantity b) { return !(a == b); }
  friend constexpr bool operator<(Quantity a, Quantity b) {
    return a.count_ < b.count_;
  }
  friend constexpr bool operator>(Quantity a, Quantity b) { return b < a; }
  friend constexpr bool operator<=(Quantity a, Quantity b) { return !(b < a); }
  friend constexpr bool operator>=(Quantity a, Quantity b) { return !(a < b); }
  friend std::ostream& operator<<(std::ostream& os, Quantity q) {
    return os << q.count_;
  }

 private:
  int64_t count_ = 0;
};

}  // namespace mimosa

namespace std {
template <typename Tag>
struct hash<mimosa::StrongId<Tag>> {
  size_t operator()(const mimosa::StrongId<Tag>& id) const {
    return hash<string>()(id.value());
  }
};
}  // namespace std

#endif  // BASE_STRONG_H_
