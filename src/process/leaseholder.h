// The settings lease of an entry host: how long it may admit new work with the settings it has.
// Runs in liftweir-entry and liftweir-site-entry.

#ifndef LEASEHOLDER_H_INCLUDED
#define LEASEHOLDER_H_INCLUDED

#include "connection/wire.h"
#include "process/clock.h"
#include "process/settingsrollout.h"

#include <map>
#include <optional>

namespace liftweir {

// The lease is valid while a majority of control hosts has recently confirmed that their logs hold
// no settings newer than the version of this entry host. No leader is needed: any majority that
// confirms shares a host with any majority that accepts a change.
class LeaseHolder {
  public:
    LeaseHolder(Voters voters, Incarnation incarnation, Duration length = SettingsLease)
        : voters_(std::move(voters)), incarnation_(incarnation), length_(length) {}

    // Records a renewal sent to one control host, and returns its sequence number.
    std::uint64_t renewal_sent(NodeId node, Time now);
    // When the renewal was sent; nullopt if it was acknowledged already or is no longer recorded.
    std::optional<Time> renewal_sent_at(NodeId node, std::uint64_t sequence) const;
    // `lease` is the settings version that this entry host has now.
    void on_lease_ack(const LeaseAck& lease_ack, Version lease, Time now);
    // End of the lease; Time{} where there never was one.
    Time valid_until() const;
    // The latest acknowledgement came from a control host with newer settings than this entry host.
    bool behind() const { return behind_; }
    const Voters& voters() const { return voters_; }
    // Log index of the voters that this host knows; 0 for none.
    Index voters_index() const { return voters_index_; }
    Incarnation incarnation() const { return incarnation_; }

  private:
    struct LeaseAcceptor {
        std::map<std::uint64_t, Time> asked;
        Time confirmed{};
    };

    Voters voters_;
    Index voters_index_ = 0;
    Incarnation incarnation_;
    Duration length_;
    std::uint64_t next_sequence_ = 1;
    bool behind_ = false;
    std::map<NodeId, LeaseAcceptor> acceptors_;
};

} // namespace liftweir

#endif // LEASEHOLDER_H_INCLUDED
