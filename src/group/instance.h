#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "address/keeper.h"
#include "address/succession.h"
#include "address/voter.h"
#include "membership/group.h"
#include "proto/group_wire.h"

// One member of a group of balancers: membership, its service addresses and, where it votes, its
// vote, brought together. No I/O and no clock: whoever owns it carries datagrams, keeps the voter's
// record, announces and withdraws.
namespace silverpin::group {

struct InstanceSettings {
  std::string name, endpoint;
  std::uint64_t life = 0;  // larger with each start under this name
  membership::GroupSettings group;
  address::KeeperSettings keeper;  // without addresses: it votes, or only watches
  address::Voters founding;        // the voters of a new group
  bool serves = true;              // false: a voter that holds nothing
};

// Where a voter's record is kept. False: it is not on disk, and nothing may be answered.
class Memory {
 public:
  virtual ~Memory() = default;
  virtual bool keep(const address::VoterRecord& record) = 0;
};

class Instance {
 public:
  // `remembered`: the record on disk, if there is one. `memory` outlives it.
  Instance(const InstanceSettings& settings, const std::optional<address::VoterRecord>& remembered,
           Memory& memory, std::uint64_t seed, Time now);

  // ---- told
  void on_datagram(Time now, const std::string& endpoint, const Datagram& datagram);
  void on_able(Time now, bool able, std::string_view why);
  void on_announced(Time now, const std::string& address);
  void on_withdrawn(Time now, const std::string& address);
  void on_claim_failed(Time now, const std::string& address);
  void on_timer(Time now);
  // The voter's record could not be read at the start, and can be now. It votes from here on as if
  // it had just started with it. Until then nothing was kept, and so nothing promised.
  void restore_voter(Time now, const std::optional<address::VoterRecord>& remembered);
  Time next() const;
  // Gives all up in order; done once idle().
  void leave(Time now);
  // Tells the others that it goes; nothing more is sent behind it.
  void end(Time now);

  // Hands the address over to this instance, or to the best. Returns why not, or nothing.
  std::string move(Time now, const std::string& address, const std::string& to);
  // Adds the voter, or takes it out. `done` hears the outcome, one line, within some seconds.
  void change_voters(Time now, const std::string& name, bool add,
                     std::function<void(bool done, const std::string& line)> done);

  // ---- what is to be done
  struct Send {
    std::string endpoint, to;
    decltype(Datagram::body) body;
  };
  std::vector<Send> take_sends();
  std::vector<address::Keeper::Carry> take_carries() { return keeper_.take_carries(); }
  // What operators should read, one line each.
  std::vector<std::string> take_lines() { return std::exchange(lines_, {}); }

  // ---- known
  const membership::Group& group() const { return group_; }
  const address::Keeper& keeper() const { return keeper_; }
  const address::Voter* voter() const { return voter_ ? &*voter_ : nullptr; }
  const address::Voters& voters() const { return voters_; }
  bool idle() const { return keeper_.idle(); }
  bool superseded() const { return group_.superseded(); }

 private:
  void settle(Time now);
  void send_to(const std::string& name, decltype(Send::body) body);
  void take(Time now, const Datagram& datagram);
  bool keep_record();
  void answer(Time now, const std::string& from, const address::Ask& ask);
  void hear_of(const std::string& voter, const address::Voters& voters);
  void mend_voters(Time now);
  void drive_change(Time now);
  std::vector<address::Peer> peers(Time now);
  void note_states();

  const InstanceSettings settings_;
  Memory& memory_;
  membership::Group group_;
  address::Keeper keeper_;
  std::optional<address::Voter> voter_;
  address::Voters voters_;                       // the newest that was heard of
  std::map<std::string, address::Voters> told_;  // what each voter last said that it goes by
  Time mend_at_{0};
  std::uint64_t seen_revision_ = 0;
  struct Ability {
    std::uint64_t life = 0;
    bool able = false;
    Time since{0};
  };
  std::map<std::string, Ability> abilities_;
  std::map<std::string, address::Tenure::State> states_;
  std::optional<address::Succession> change_;
  std::function<void(bool done, const std::string& line)> changed_;
  bool unkept_ = false;  // the voter's record is newer than what is on disk
  bool mute_ = false;    // and could not be written
  std::vector<Send> sends_;
  std::vector<Datagram> own_;  // to itself
  std::vector<std::string> lines_;
};

}  // namespace silverpin::group
