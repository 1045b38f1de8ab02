#include <algorithm>
#include <charconv>
#include <utility>

#include "frontend/resp/resp_session.h"

// Commands that address nodes rather than keys: SCAN over all nodes that own slots, and DBSIZE
// summed over them.
namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::CommandKind;
using cluster::Split;
using resp::Command;
using namespace reply;

constexpr CommandInfo kScan{"SCAN", CommandKind::kRead, -2};
constexpr CommandInfo kDbsize{"DBSIZE", CommandKind::kRead, 1};
// Kinds under which the connection selector records the latencies of these commands.
constexpr std::uint8_t kScanLatencyKind = 254, kDbsizeLatencyKind = 253;

// A client's cursor consists of the scan's id and, in the low bits, the page number.
constexpr int kPageBits = 20;
constexpr std::uint64_t kPageMask = (1u << kPageBits) - 1;

std::optional<std::uint64_t> read_cursor(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
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

std::optional<std::uint64_t> RespFrontend::begin_scan(Time now) {
  std::erase_if(scans_,
                [now](const auto& s) { return now - s.second.last_used > kScanIdleTimeout; });
  // Finished scans are kept too, as a client may request the last page again. At the limit, a new
  // scan replaces the least recently used one.
  if (scans_.size() >= kMaxScans)
    scans_.erase(std::min_element(scans_.begin(), scans_.end(), [](const auto& a, const auto& b) {
      return a.second.last_used < b.second.last_used;
    }));
  if (!limits_.has_memory(MemoryUse::kRequest, sizeof(Scan))) return std::nullopt;
  std::uint64_t id = 0;
  // At most 42 bits, so that a cursor with its page number has at most 62 bits.
  while (id == 0 || scans_.count(id) > 0) id = random_() >> (kPageBits + 2);
  Scan& scan = scans_[id];
  scan.last_used = now;
  scan.memory = Reservation(limits_.bytes, sizeof(Scan), MemoryHolder::kRequests);
  return id;
}

RespFrontend::Scan* RespFrontend::find_scan(std::uint64_t id, Time now) {
  const auto it = scans_.find(id);
  if (it == scans_.end() || now - it->second.last_used > kScanIdleTimeout) return nullptr;
  it->second.last_used = now;
  return &it->second;
}

// ---- commands

// SCAN cursor [MATCH pattern] [COUNT n] [TYPE type]
ProtocolHandler::Step RespFrontend::RespSession::scan(ClientSession& session,
                                                      const Command& command) {
  if (command.size() < 2) return reply_with(session, wrong_arity("scan"));
  const auto cursor = read_cursor(command[1]);
  if (!cursor) return reply_with(session, error("ERR invalid cursor"));
  if (open_requests_ >= kMaxOpenRequests) return Step::kBlocked;
  auto memory = reserve(sizeof(ScanPage));
  const auto id = *cursor == 0 ? front_.begin_scan(session.now()) : *cursor >> kPageBits;
  if (!memory || !id) return reply_with(session, refused(Duration{0}));
  const std::uint64_t page = *cursor & kPageMask;
  Scan* const state = front_.find_scan(*id, session.now());
  // A client that did not receive a reply may repeat the request for the previous page.
  if (!state || (page != state->page && page + 1 != state->page))
    return reply_with(session, error("ERR invalid cursor"));
  cluster::ScanPlan plan = page == state->page ? state->plan : state->previous;
  const auto step = plan.next(front_.slots_);
  if (!step) {
    return reply_with(session, plan.aborted() ? error("TRYAGAIN slots go on moving; begin again")
                                              : scan_reply(0, "*0\r\n"));
  }
  std::vector<std::string_view> words = {"SCAN"};
  const std::string node_cursor = std::to_string(step->cursor);
  words.push_back(node_cursor);
  for (std::size_t i = 2; i < command.size(); ++i) words.push_back(command[i]);
  const auto response_slot = session.open_slot();
  scan_pages_[response_slot] = {*id, page, std::move(plan), std::move(*memory)};
  submit(session, {response_slot}, Command::from_args(words).wire(), 1, 0,
         front_.class_of(kScan, {}), false, {}, kScanLatencyKind, {.node = step->node});
  return Step::kProcessed;
}

// Advances the scan after a node's reply. Returns the reply for the client, which has the
// balancer's cursor in place of the node's, or an error.
std::string RespFrontend::RespSession::advance_scan(Time now, ScanPage page, std::string reply) {
  if (is_error(reply)) return reply;
  const auto elements = resp::array_elements(reply, front_.reply_bounds_);
  if (!elements || elements->size() != 2) return failed();
  const auto next = resp::parse_reply(elements->front(), front_.reply_bounds_);
  const auto cursor = next ? read_cursor(next->text) : std::nullopt;
  Scan* const scan = front_.find_scan(page.scan, now);
  if (!cursor || !scan) return error("ERR invalid cursor");
  scan->previous = page.plan;
  page.plan.on_page(front_.slots_, *cursor);
  // An aborted scan returns a nonzero cursor, so that the client's next SCAN gets an error.
  const bool more = page.plan.next(front_.slots_).has_value() || page.plan.aborted();
  scan->plan = std::move(page.plan);
  scan->page = (page.page + 1) & kPageMask;
  std::string out = scan_reply(more ? page.scan << kPageBits | scan->page : 0, elements->back());
  return out;
}

// Sums up DBSIZE over all nodes that own slots.
ProtocolHandler::Step RespFrontend::RespSession::dbsize(ClientSession& session) {
  std::vector<std::string> owners;
  for (const auto& node : front_.slots_.nodes())
    if (!node.address.empty() && node.owned > 0) owners.push_back(node.address);
  if (owners.empty()) return reply_with(session, refused(Duration{0}));
  if (open_requests_ + owners.size() > kMaxOpenRequests) return Step::kBlocked;
  SplitCommand split;
  split.split = Split::kCount;
  split.pending_parts = owners.size();
  split.replies.resize(owners.size());
  split.kinds.resize(owners.size());
  split.keys.resize(owners.size());
  const auto response_slot = session.open_slot();
  split_commands_.emplace(response_slot, std::move(split));
  // submit() may complete the last part before it returns, which erases the split command.
  for (std::size_t i = 0; i < owners.size(); ++i)
    submit(session, {response_slot, static_cast<std::uint32_t>(i)},
           Command::from_args({"DBSIZE"}).wire(), 1, 0, front_.class_of(kDbsize, {}), false, {},
           kDbsizeLatencyKind, {.node = owners[i]});
  return Step::kProcessed;
}

}  // namespace balancer
