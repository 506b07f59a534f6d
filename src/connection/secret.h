// Cluster keys, MACs, random bytes and digests.

#ifndef SECRET_H_INCLUDED
#define SECRET_H_INCLUDED

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

constexpr std::size_t NonceBytes = 16;
constexpr std::size_t MacBytes = 32;
constexpr std::size_t ShortMacBytes = 16; // on datagrams

// Keys that all processes of one deployment share. The first one signs and all of them verify, so
// that during a key rotation any two processes still have a key in common.
class ClusterKeys {
  public:
    explicit ClusterKeys(std::vector<std::string> keys) : keys_(std::move(keys)) {}
    // For a network on which the operator trusts every host: nothing is signed or checked.
    static ClusterKeys none() { return ClusterKeys({}); }
    bool trusts_network() const { return keys_.empty(); }

    std::string sign(std::string_view text) const;
    bool verify(std::string_view text, std::string_view mac) const;
    // Appends a truncated MAC to a datagram, or checks and removes it. The result of the check is
    // empty if the MAC is wrong.
    std::string append_mac(std::string_view body) const;
    std::string_view strip_mac(std::string_view datagram) const;

  private:
    std::vector<std::string> keys_;
};

std::string random_bytes(std::size_t count);
// Identifies one start of a process: random, but greater than that of any earlier start.
std::uint64_t new_incarnation();
std::string sha256_hex(std::string_view text);
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace liftweir

#endif // SECRET_H_INCLUDED
