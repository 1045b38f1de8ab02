#include <algorithm>
#include <charconv>
#include <utility>

#include "frontend/resp/conversation.h"

// Commands that concern nodes rather than keys: SCAN over all nodes, DBSIZE of each primary.
namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::Kind;
using cluster::Split;
using resp::Command;
using namespace reply;

constexpr CommandInfo kScan{"SCAN", Kind::kRead, -2};
constexpr CommandInfo kDbsize{"DBSIZE", Kind::kRead, 1};
// Command kinds; the connection selector records latencies by kind.
constexpr std::uint8_t kScanKind = 254, kDbsizeKind = 253;

// A client's cursor consists of the scan's id and, in the low bits, the page number.
constexpr int kPageBits = 20;
constexpr std::uint64_t kPageMask = (1u << kPageBits) - 1;

std::optional<std::uint64_t> read_cursor(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (bad != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string scan_reply(std::uint64_t cursor, std::string_view keys) {
  std::string out;
  resp::append_array(out, 2);
  resp::append_bulk(out, std::to_string(cursor));
  return out += keys;
}

}  // namespace

// ---- scans in progress

std::uint64_t RespFront::begin_scan(Time now) {
  std::erase_if(scans_,
                [now](const auto& s) { return now - s.second.last_used > kScanIdleTimeout; });
  // Keeps finished scans too, as a client may request the last page again. A new scan replaces the
  // one that has been idle longest.
  if (scans_.size() >= kMaxScans)
    scans_.erase(std::min_element(scans_.begin(), scans_.end(), [](const auto& a, const auto& b) {
      return a.second.last_used < b.second.last_used;
    }));
  std::uint64_t id = 0;
  while (id == 0 || scans_.count(id) > 0) id = random_() >> (kPageBits + 2);
  scans_[id].last_used = now;
  return id;
}

RespFront::Scan* RespFront::find_scan(std::uint64_t id, Time now) {
  const auto it = scans_.find(id);
  if (it == scans_.end() || now - it->second.last_used > kScanIdleTimeout) return nullptr;
  it->second.last_used = now;
  return &it->second;
}

// ---- commands

// SCAN cursor [MATCH pattern] [COUNT n] [TYPE type]
Dialect::Step RespFront::Conversation::scan(ClientSession& session, const Command& command) {
  if (command.size() < 2) return reply_with(session, wrong_arity("scan"));
  const auto cursor = read_cursor(command[1]);
  if (!cursor) return reply_with(session, error("ERR invalid cursor"));
  if (open_requests_ >= kMaxOpenRequests) return Step::kWait;
  const std::uint64_t id = *cursor == 0 ? front_.begin_scan(session.now()) : *cursor >> kPageBits;
  const std::uint64_t page = *cursor & kPageMask;
  Scan* const s = front_.find_scan(id, session.now());
  // A client that lost a reply may request the same page once more.
  if (!s || (page != s->page && page + 1 != s->page))
    return reply_with(session, error("ERR invalid cursor"));
  cluster::ScanPlan plan = page == s->page ? s->plan : s->previous;
  const auto step = plan.next(front_.slots_);
  if (!step) {
    return reply_with(session, plan.aborted() ? error("TRYAGAIN slots go on moving; begin again")
                                              : scan_reply(0, "*0\r\n"));
  }
  std::vector<std::string_view> words = {"SCAN"};
  const std::string at = std::to_string(step->cursor);
  words.push_back(at);
  for (std::size_t i = 2; i < command.size(); ++i) words.push_back(command[i]);
  const auto response_slot = session.open_slot();
  scan_pages_[response_slot] = {id, page, std::move(plan)};
  submit(session, {response_slot}, Command::of(words).wire(), 1, 0, front_.class_of(kScan, {}),
         false, {}, kScanKind, std::nullopt, step->node);
  return Step::kTaken;
}

// Returns the reply to a page with the node's cursor replaced by the client's.
std::string RespFront::Conversation::advance_scan(Time now, ScanPage page, std::string reply) {
  const auto value = resp::parse_reply(reply, front_.reply_bounds_);
  if (!value) return failed();
  if (value->is_error()) return reply;
  if (value->items.size() != 2) return failed();
  const auto cursor = read_cursor(value->items[0].text);
  Scan* const s = front_.find_scan(page.scan, now);
  if (!cursor || !s) return error("ERR invalid cursor");
  s->previous = page.plan;
  page.plan.on_page(front_.slots_, *cursor);
  const bool more = page.plan.next(front_.slots_).has_value() || page.plan.aborted();
  s->plan = std::move(page.plan);
  s->page = (page.page + 1) & kPageMask;
  std::string out = scan_reply(more ? page.scan << kPageBits | s->page : 0, value->items[1].wire);
  return out;
}

// Sums up DBSIZE over all nodes that own slots.
Dialect::Step RespFront::Conversation::dbsize(ClientSession& session) {
  std::vector<std::string> owners;
  for (const auto& node : front_.slots_.nodes())
    if (!node.address.empty() && node.owned > 0) owners.push_back(node.address);
  if (owners.empty()) return reply_with(session, refused(Duration{0}));
  if (open_requests_ + owners.size() > kMaxOpenRequests) return Step::kWait;
  SplitCommand j;
  j.split = Split::kCount;
  j.pending_parts = owners.size();
  j.replies.resize(owners.size());
  j.kinds.resize(owners.size());
  j.keys.resize(owners.size());
  const auto response_slot = session.open_slot();
  split_commands_.emplace(response_slot, std::move(j));
  // The last response may arrive before submit() returns, and erases the split command.
  for (std::size_t i = 0; i < owners.size(); ++i)
    submit(session, {response_slot, static_cast<std::uint32_t>(i)}, Command::of({"DBSIZE"}).wire(),
           1, 0, front_.class_of(kDbsize, {}), false, {}, kDbsizeKind, std::nullopt, owners[i]);
  return Step::kTaken;
}

}  // namespace balancer
