// Tests of the RESP codec: every type, fed in pieces of every size, and the limits.
#include "proto/resp.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace balancer::resp {
namespace {

InputLimits small_bounds() {
  return {.bulk = 64, .elements = 32, .total = 400, .line = 80, .depth = 4};
}

// Parses `bytes` fed in pieces of `step` bytes. Returns the arguments of each command in brackets,
// and the message of a protocol error after '!'.
std::string commands(std::string_view bytes, std::size_t step,
                     const InputLimits& bounds = small_bounds()) {
  CommandReader reader(bounds);
  std::string out;
  for (std::size_t at = 0; at <= bytes.size(); at += step) {
    if (at < bytes.size()) reader.feed(bytes.substr(at, step));
    while (auto item = reader.next()) {
      if (const auto* fault = std::get_if<ProtocolError>(&*item)) return out + "!" + fault->reason;
      const auto& c = std::get<Command>(*item);
      out += "[";
      for (std::size_t i = 0; i < c.size(); ++i) out += (i ? "|" : "") + std::string(c[i]);
      out += "]";
    }
  }
  return out;
}

void expect_commands(std::string_view bytes, const std::string& expected) {
  for (std::size_t step = 1; step <= bytes.size() + 1; ++step)
    EXPECT_EQ(commands(bytes, step), expected) << "in pieces of " << step;
}

TEST(RespCommandReaderTest, ParsesArraysOfBulkStrings) {
  expect_commands("*2\r\n$3\r\nGET\r\n$1\r\nk\r\n", "[GET|k]");
  expect_commands("*1\r\n$4\r\nPING\r\n*2\r\n$4\r\nECHO\r\n$0\r\n\r\n", "[PING][ECHO|]");
  const std::string binary("\r\n\0x", 4);
  expect_commands("*2\r\n$3\r\nGET\r\n$4\r\n" + binary + "\r\n", "[GET|" + binary + "]");
  expect_commands(std::string("*2\r\n$3\r\nGET\r\n$4\r\na\r\nb\r\n"), "[GET|a\r\nb]");
  expect_commands("*0\r\n*-1\r\n*1\r\n$4\r\nPING\r\n", "[PING]");
}

TEST(RespCommandReaderTest, ParsesInlineCommandsWithQuotes) {
  expect_commands("PING\r\n", "[PING]");
  expect_commands("PING\n\r\n  \r\nGET  k \r\n", "[PING][GET|k]");
  expect_commands("SET k \"a b\\x41\\n\\\"\" 'c\\'d\\n'\r\n", "[SET|k|a bA\n\"|c'd\\n]");
  expect_commands("SET \"\" ''\r\n", "[SET||]");
  expect_commands("GET \"k\r\n", "!Protocol error: unbalanced quotes in request");
  expect_commands("GET \"k\"x\r\n", "!Protocol error: unbalanced quotes in request");
  expect_commands(std::string(100, 'x') + "\r\n", "!Protocol error: too big inline request");
}

TEST(RespCommandReaderTest, ReportsProtocolErrors) {
  expect_commands("*33\r\n", "!Protocol error: invalid multibulk length");
  expect_commands("*x\r\n", "!Protocol error: invalid multibulk length");
  expect_commands("*99999999999999999999\r\n", "!Protocol error: invalid multibulk length");
  expect_commands("*1\r\n+OK\r\n", "!Protocol error: expected '$', got '+'");
  expect_commands("*1\r\n$65\r\n", "!Protocol error: invalid bulk length");
  expect_commands("*1\r\n$104857600\r\n", "!Protocol error: invalid bulk length");
  expect_commands("*1\r\n$-1\r\n", "!Protocol error: invalid bulk length");
  expect_commands("*1\r\n$1\r\nabc",
                  "!Protocol error: a bulk string does not end where its length says");
  expect_commands("*" + std::string(40, '1'), "!Protocol error: too big mbulk count string");
  expect_commands("*1\r\n$" + std::string(40, '1'), "!Protocol error: too big bulk count string");
  // A command before a protocol error is still returned.
  expect_commands("*1\r\n$4\r\nPING\r\n*1\r\n:1\r\n",
                  "[PING]!Protocol error: expected '$', got ':'");
}

// A command that exceeds the total limit is reported like an oversized bulk string.
TEST(RespCommandReaderTest, LimitsTheTotalSizeOfACommand) {
  std::string text = "*20\r\n";
  for (int i = 0; i < 20; ++i) text += "$40\r\n" + std::string(40, 'x') + "\r\n";
  EXPECT_EQ(commands(text, 7), "!Protocol error: invalid bulk length");
}

// A session reserves memory for expected(), the announced size of the partial command, so
// buffered() must not count the same bytes again.
TEST(RespCommandReaderTest, ExcludesThePartialCommandFromBufferedBytes) {
  CommandReader reader(small_bounds());
  reader.feed("*2\r\n$3\r\nGET\r\n$50\r\nabc");
  EXPECT_FALSE(reader.next());
  // The array header, GET, the header of the second string, and its 50 bytes and CRLF.
  EXPECT_EQ(reader.expected(), 4u + 9 + 5 + 52);
  EXPECT_EQ(reader.buffered(), 0u);
  EXPECT_FALSE(reader.between_commands());
  reader.feed(std::string(47, 'x') + "\r\nPI");
  EXPECT_TRUE(reader.next());
  EXPECT_EQ(reader.expected(), 0u);
  EXPECT_EQ(reader.buffered(), 2u);
}

TEST(RespCommandReaderTest, SerializesCommandsCanonically) {
  CommandReader reader(small_bounds());
  reader.feed("*0002\r\n$3\r\nGET\r\n$1\r\nk\r\nset a 'b c'\r\n");
  auto first = reader.next();
  ASSERT_TRUE(first);
  EXPECT_EQ(std::get<Command>(*first).wire(), "*2\r\n$3\r\nGET\r\n$1\r\nk\r\n");
  auto second = reader.next();
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<Command>(*second).wire(), "*3\r\n$3\r\nset\r\n$1\r\na\r\n$3\r\nb c\r\n");
}

TEST(RespCommandTest, KeepsArgumentsWhenTheCountGrowsToTwoDigits) {
  Command c;
  std::string arguments;
  for (int i = 0; i < 12; ++i) {
    c.push_back("w" + std::to_string(i));
    arguments += c[static_cast<std::size_t>(i)];
  }
  EXPECT_EQ(arguments, "w0w1w2w3w4w5w6w7w8w9w10w11");
  EXPECT_EQ(c[0], "w0");
  EXPECT_EQ(commands(c.wire(), 5), "[w0|w1|w2|w3|w4|w5|w6|w7|w8|w9|w10|w11]");
}

// Parses `bytes` fed in pieces of `step` bytes. Returns each reply in brackets with its type,
// followed by `malformed` or `unfinished` if the input is malformed or ends within a reply.
std::string replies(std::string_view bytes, std::size_t step,
                    const InputLimits& bounds = small_bounds()) {
  ReplyReader reader(bounds);
  std::string out, current;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    std::string_view piece = bytes.substr(at, step);
    for (bool more = true; more;) {
      switch (reader.next(piece)) {
        case ReplyReader::Event::kMore:
          more = false;
          break;
        case ReplyReader::Event::kData:
          current += reader.data();
          break;
        case ReplyReader::Event::kEnd:
          out += std::string("[") + static_cast<char>(reader.type()) + " " + current + "]";
          current.clear();
          break;
        case ReplyReader::Event::kMalformed:
          return out + "malformed";
      }
    }
  }
  EXPECT_EQ(reader.between_replies(), current.empty());
  return out + (current.empty() ? "" : "unfinished");
}

const std::vector<std::string>& valid_replies() {
  static const std::vector<std::string> all = {
      "+OK\r\n",
      "-ERR no\r\n",
      ":-7\r\n",
      ":+7\r\n",
      "$-1\r\n",
      "$0\r\n\r\n",
      "$4\r\na\r\nb\r\n",
      "*-1\r\n",
      "*0\r\n",
      "*2\r\n:1\r\n*1\r\n$1\r\nx\r\n",
      "_\r\n",
      "#t\r\n",
      ",1.5e-3\r\n",
      ",-inf\r\n",
      ",nan\r\n",
      ",10\r\n",
      "(-3492890328409238509324850943850943825024385\r\n",
      "!5\r\nERR x\r\n",
      "=7\r\ntxt:abc\r\n",
      "%1\r\n+k\r\n:1\r\n",
      "%0\r\n",
      "~2\r\n+a\r\n_\r\n",
      ">2\r\n+message\r\n+x\r\n",
      "|1\r\n+ttl\r\n:9\r\n$1\r\nx\r\n",
      "|0\r\n$1\r\nx\r\n",
      "*1\r\n|1\r\n+a\r\n*1\r\n:1\r\n:2\r\n",
      "*4\r\n*0\r\n%0\r\n*-1\r\n*1\r\n*1\r\n:1\r\n",
  };
  return all;
}

TEST(RespReplyReaderTest, ParsesEveryTypeInPiecesOfAnySize) {
  for (const auto& text : valid_replies()) {
    const char type = text[0] == '|' ? '$' : text[0];
    const std::string expected = std::string("[") + type + " " + text + "]";
    for (std::size_t step = 1; step <= text.size(); ++step) {
      EXPECT_EQ(replies(text, step), expected) << "in pieces of " << step;
      EXPECT_EQ(replies(text + text, step), expected + expected) << "in pieces of " << step;
    }
    EXPECT_TRUE(parse_reply(text, small_bounds())) << text;
    EXPECT_FALSE(parse_reply(text + "+", small_bounds())) << text;
    EXPECT_FALSE(parse_reply(text.substr(0, text.size() - 1), small_bounds())) << text;
  }
}

TEST(RespReplyReaderTest, RejectsMalformedReplies) {
  for (const std::string text : {"hello\r\n",
                                 "\r\n",
                                 ":x\r\n",
                                 ":\r\n",
                                 "$x\r\n",
                                 "$-2\r\n",
                                 "$65\r\n",
                                 "$2\r\nabcd",
                                 "*-2\r\n",
                                 "*33\r\n",
                                 "%17\r\n",
                                 "%-1\r\n",
                                 "#x\r\n",
                                 "_x\r\n",
                                 ",1.e\r\n",
                                 ",\r\n",
                                 "(1.5\r\n",
                                 "(\r\n",
                                 "!-1\r\n",
                                 "=3\r\nabc\r\n",
                                 "=7\r\ntxtxabc\r\n",
                                 ">0\r\n",
                                 "*1\r\n>1\r\n:1\r\n",
                                 "+OK\n",
                                 "+a\rb\r\n",
                                 "$?\r\n",
                                 "*?\r\n",
                                 "%?\r\n",
                                 ";4\r\n",
                                 ".\r\n",
                                 "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n",
                                 "*30\r\n*3\r\n",
                                 "*99999999999999999999\r\n"}) {
    for (std::size_t step = 1; step <= text.size(); ++step)
      EXPECT_EQ(replies(text, step), "malformed") << text << " in pieces of " << step;
    EXPECT_FALSE(parse_reply(text, small_bounds())) << text;
  }
  EXPECT_EQ(replies("+" + std::string(200, 'x'), 9), "malformed");
  std::string oversized = "*20\r\n";
  for (int i = 0; i < 20; ++i) oversized += "$40\r\n" + std::string(40, 'x') + "\r\n";
  EXPECT_EQ(replies(oversized, 9), "malformed");
}

TEST(RespReplyTest, ParsesAReplyIntoATree) {
  const auto v =
      parse_reply("*4\r\n$3\r\nabc\r\n:-5\r\n%1\r\n+k\r\n_\r\n!5\r\nERR x\r\n", small_bounds());
  ASSERT_TRUE(v);
  ASSERT_EQ(v->items.size(), 4u);
  EXPECT_EQ(v->items[0].text, "abc");
  EXPECT_EQ(v->items[0].wire, "$3\r\nabc\r\n");
  EXPECT_EQ(v->items[1].integer(), -5);
  ASSERT_EQ(v->items[2].items.size(), 2u);
  EXPECT_TRUE(v->items[2].items[1].null);
  EXPECT_TRUE(v->items[3].is_error());
  EXPECT_EQ(v->items[3].text, "ERR x");
  EXPECT_EQ(parse_reply("=7\r\ntxt:abc\r\n", small_bounds())->text, "abc");
  const auto attributed = parse_reply("|1\r\n+ttl\r\n:9\r\n$1\r\nx\r\n", small_bounds());
  ASSERT_TRUE(attributed);
  EXPECT_EQ(attributed->text, "x");
  EXPECT_EQ(attributed->wire, "$1\r\nx\r\n");
}

TEST(RespReplyTest, ParsesSerializedValues) {
  for (const int version : {2, 3}) {
    std::string out;
    append_map(out, 2, version);
    append_simple(out, "a");
    append_integer(out, -9);
    append_bulk(out, "b\r\n");
    append_array(out, 2);
    append_null(out, version);
    append_error(out, "ERR one\r\nline");
    const auto v = parse_reply(out, small_bounds());
    ASSERT_TRUE(v) << version;
    EXPECT_EQ(v->type, version == 2 ? Type::kArray : Type::kMap);
    ASSERT_EQ(v->items.size(), 4u);
    EXPECT_EQ(v->items[2].text, "b\r\n");
    EXPECT_TRUE(v->items[3].items[0].null);
    EXPECT_EQ(v->items[3].items[1].text, "ERR one  line");
  }
}

// In random trees the parser finds as many values as were serialized and keeps their bytes, and the
// result does not depend on how the input is split.
TEST(RespReplyTest, ParsesRandomTrees) {
  const InputLimits bounds{.bulk = 64, .elements = 4096, .total = 1 << 20, .line = 80, .depth = 8};
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    std::string all;
    std::size_t values = 0;
    const std::function<void(int)> append_random = [&](int depth) {
      ++values;
      switch (random() % (depth > 0 ? 9u : 6u)) {
        case 0:
          return append_simple(all, "simple");
        case 1:
          return append_integer(all, static_cast<std::int32_t>(random()));
        case 2:
          return append_bulk(all, std::string(random() % 60, '\r'));
        case 3:
          return append_null(all, random() % 2 ? 2 : 3);
        case 4:
          return append_error(all, "ERR x");
        case 5:
          all += "=6\r\ntxt:\r\n\r\n";
          return;
        default: {
          const auto n = random() % 4;
          const int version = random() % 2 ? 2 : 3;
          if (random() % 2) {
            append_array(all, n);
            for (auto i = n; i > 0; --i) append_random(depth - 1);
          } else {
            append_map(all, n, version);
            for (auto i = 2 * n; i > 0; --i) append_random(depth - 1);
          }
        }
      }
    };
    append_random(6);
    const auto root = parse_reply(all, bounds);
    ASSERT_TRUE(root);
    std::size_t counted = 0;
    const std::function<void(const Value&)> count = [&](const Value& v) {
      ++counted;
      for (const Value& item : v.items) count(item);
    };
    count(*root);
    EXPECT_EQ(counted, values);
    EXPECT_EQ(root->wire, all);
    EXPECT_EQ(replies(all, 1 + random() % 13, bounds), replies(all, all.size(), bounds));
  }
}

}  // namespace
}  // namespace balancer::resp
