#ifndef LEASEHOLDER_H_INCLUDED
#define LEASEHOLDER_H_INCLUDED

#include "connection/wire.h"
#include "process/clock.h"
#include "process/settingsrollout.h"

#include <map>
#include <optional>

namespace liftweir {

// An entry host's settings lease. It may admit new work while a majority of control hosts has
// vouched lately that their logs hold nothing above the version that it has. No leader is
// needed: any majority of vouchers shares a host with any majority that accepts a change.
class LeaseHolder {
  public:
    LeaseHolder(Voters voters, Incarnation incarnation, Duration length = SettingsLease)
        : voters_(std::move(voters)), incarnation_(incarnation), length_(length) {}

    // The next question to one control host.
    std::uint64_t asked(NodeId node, Time now);
    // When the question left; empty where it was answered, or is too old to tell.
    std::optional<Time> asked_at(NodeId node, std::uint64_t sequence) const;
    // `lease` is the version that this entry host holds now.
    void on_lease_ack(const LeaseAck& lease_ack, Version lease, Time now);
    // End of the lease; Time{} where it never began.
    Time valid_until() const;
    // A control host has something newer than this entry host.
    bool behind() const { return behind_; }
    const Voters& voters() const { return voters_; }
    Incarnation incarnation() const { return incarnation_; }

  private:
    struct LeaseAcceptor {
        std::map<std::uint64_t, Time> asked;
        Time proved{};
    };

    Voters voters_;
    Index voters_index_ = 0;
    Incarnation incarnation_;
    Duration length_;
    std::uint64_t next_ = 1;
    bool behind_ = false;
    std::map<NodeId, LeaseAcceptor> acceptors_;
};

} // namespace liftweir

#endif // LEASEHOLDER_H_INCLUDED
