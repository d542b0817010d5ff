#include "membership/internal/contactlist.h"

#include <utility>

namespace membership {

namespace {

using namespace std::chrono_literals;

// Interval between first contacts with announced members.
constexpr base::Duration kFirstContactPeriod = 100ms;

// Intervals between contacts with random addresses: while no other member is
// present, and otherwise. With 2,400 daemons every dead member is contacted by
// some daemon far more often than once per `kContactPeriod`.
constexpr base::Duration kIsolatedContactPeriod = 200ms;
constexpr base::Duration kContactPeriod = 10s;

// Maximum number of announced members kept; the log holds no more than this.
constexpr std::size_t kMaxAnnouncedMembers = 16384;

} // namespace

void ContactList::addAnnounced(const Member &Record) {
  if (Record.Instance == Core.Settings.Self.Instance)
    return;
  const auto Found = Announced.find(Record.Instance);
  const bool New = Found == Announced.end();
  if (!New && !supersedes(claimOf(Record), claimOf(Found->second)))
    return;
  if (!isPresent(Record.State)) {
    if (!New)
      Announced.erase(Found);
    return;
  }
  if (New && Announced.size() >= kMaxAnnouncedMembers)
    return;
  Announced[Record.Instance] = Record;
  NotContacted.push_back(Record.Instance);
}

void ContactList::tick() {
  if (Core.Now >= NextFirstContact && contactNewMember())
    NextFirstContact = Core.Now + kFirstContactPeriod;
  if (Core.Now < NextContact)
    return;
  const bool Isolated = Core.Table.presentCount() <= 1;
  NextContact = Core.Now + (Isolated ? kIsolatedContactPeriod : kContactPeriod);
  pruneAnnounced();
  contactRandomAddress();
}

void ContactList::pruneAnnounced() {
  std::erase_if(Announced, [this](const auto &Item) {
    const MemberEntry *Entry = Core.Table.find(Item.first);
    return Entry && !supersedes(claimOf(Item.second), claimOf(Entry->Record));
  });
}

bool ContactList::contactNewMember() {
  while (!NotContacted.empty()) {
    const base::InstanceId Instance = NotContacted.back();
    NotContacted.pop_back();
    const auto Found = Announced.find(Instance);
    const MemberEntry *Entry = Core.Table.find(Instance);
    if (Found == Announced.end() ||
        (Entry && Entry->Record.Incarnation >= Found->second.Incarnation))
      continue;
    ping(Found->second.Peer, Instance);
    return true;
  }
  return false;
}

void ContactList::contactRandomAddress() {
  std::vector<std::pair<base::Endpoint, base::InstanceId>> Contacts;
  for (const base::Endpoint &Seed : Core.Settings.Seeds)
    if (Seed != Core.Settings.Self.Peer)
      Contacts.emplace_back(Seed, base::InstanceId());
  for (const auto &[Instance, Record] : Announced)
    Contacts.emplace_back(Record.Peer, Instance);
  for (const auto &[Instance, Last] : Core.Table.tombstones())
    if (Last.Claim.State == MemberState::Dead)
      Contacts.emplace_back(Last.Peer, Instance);
  for (const MemberEntry &Entry : Core.Table.entries())
    if (Entry.Record.State == MemberState::Dead)
      Contacts.emplace_back(Entry.Record.Peer, Entry.Record.Instance);
  if (Contacts.empty())
    return;
  const auto &[Peer, Instance] = Contacts[Core.randomBelow(Contacts.size())];
  ping(Peer, Instance);
}

void ContactList::ping(const base::Endpoint &To,
                       const base::InstanceId &Instance) {
  Datagram Message = Core.makeDatagram(DatagramKind::Ping, ++Core.LastSequence);
  Message.Records.push_back(Core.self());
  Message.WantRecord = true;
  Core.send(std::move(Message), To, Instance);
}

} // namespace membership
