#include "tools/fuzz/targets.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "cli/directives.hpp"
#include "config/config.hpp"
#include "discovery/entry.hpp"
#include "http/message.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/pbs_server.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"

namespace mountflow::fuzz {
namespace {

// Aborts the process if `holds` is false. The fuzzer then reports the input.
void Require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "check failed: %s\n", what);
  std::abort();
}

template <typename Message>
void CheckPbsRoundTrip(std::string_view bytes) {
  Message read;
  const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(bytes, &read);
  if (parsed.state == pbs_protocol::DisState::kMore)
    Require(parsed.needs > bytes.size(), "an incomplete message needs more bytes than the input has");
  if (parsed.state == pbs_protocol::DisState::kBad)
    Require(!pbs_protocol::Describe(parsed.error).empty(), "the error describes what was expected");
  if (parsed.state != pbs_protocol::DisState::kOk) return;
  Require(parsed.used <= bytes.size(), "the message uses at most the bytes of the input");
  std::string written;
  pbs_protocol::Encode(read, &written);
  Message reread;
  Require(pbs_protocol::Decode(written, &reread).state == pbs_protocol::DisState::kOk,
          "an encoded message can be decoded");
  Require(reread == read, "decoding gives the encoded message");
}

}  // namespace

void PbsProtocol(std::string_view bytes) {
  CheckPbsRoundTrip<pbs_protocol::Request>(bytes);
  CheckPbsRoundTrip<pbs_protocol::Reply>(bytes);
}

namespace {

constexpr Micros kStart = 1'000'000'000;
constexpr Micros kPastAllDeadlines = kStart + 600'000'000;
constexpr Micros kPastAllTimeouts = kStart + 3'600'000'000;

job_manager::JobManagerOptions TwoQueuesWithoutNodes() {
  job_manager::JobManagerOptions options;
  options.classes = {"a", "b"};
  options.hard_limits = {8'000'000, 8'000'000};
  options.settings.classes.resize(2);
  options.settings.node_kinds = {{8.0, 8.0}};
  options.limits.jobs = 100;
  return options;
}

// Returns the piece size given by the first byte of the input.
std::size_t PieceSize(std::string_view bytes) {
  return bytes.empty() ? 1 : 1 + static_cast<unsigned char>(bytes[0]);
}

void CheckAnswered(const job_manager::Job& job) {
  const bool is_answered = job.answer != job_manager::FinalAnswer::kNone;
  Require(is_answered || !job.spec->hold.empty() || job.spec->due != 0,
          "an accepted job has its final answer");
}

}  // namespace

void PbsServer(std::string_view bytes) {
  constexpr std::uint64_t kConnection = 1;
  const job_manager::JobManagerOptions options = TwoQueuesWithoutNodes();
  job_manager::JobManager job_manager(options, 1, kStart);
  pbs_server::PbsServerOptions server_options;
  server_options.vocabulary.queues = options.classes;
  server_options.vocabulary.default_queue = "a";
  server_options.max_script_bytes = 1000;
  pbs_server::PbsServer server(&job_manager, server_options);
  server.Open(kConnection, {});
  const std::size_t piece_size = PieceSize(bytes);
  for (std::size_t at = bytes.empty() ? 0 : 1; at < bytes.size(); at += piece_size) {
    server.Receive(kStart, kConnection, bytes.substr(at, piece_size));
    server.OutputOf(kConnection)->clear();
    job_manager.outputs().clear();
  }
  job_manager.Tick(kPastAllDeadlines);
  server.Tick(kPastAllTimeouts);
  // There are no nodes, so by now each accepted job that is neither held nor due later must have been
  // rejected.
  job_manager.ForEach(0, [](const job_manager::Job& job) {
    CheckAnswered(job);
    return true;
  });
  server.Close(kStart, kConnection);
}

void Http(std::string_view bytes) {
  constexpr std::size_t kMaxBody = 1000;
  for (const auto side : {http::Reader::Side::kRequests, http::Reader::Side::kReplies}) {
    http::Reader whole(side, kMaxBody);
    http::Reader split(side, kMaxBody);
    const bool whole_is_valid = whole.Feed(bytes);
    bool split_is_valid = true;
    for (std::size_t at = 0; at < bytes.size() && split_is_valid; ++at) {
      split_is_valid = split.Feed(bytes.substr(at, 1));
    }
    if (whole_is_valid) whole.Finish();
    for (const http::Message& message : whole.messages()) {
      Require(message.body.size() <= kMaxBody, "a body is at most kMaxBody bytes long");
    }
    Require(whole_is_valid || !whole.error().empty(), "an invalid message has an error text");
    if (whole_is_valid && split_is_valid && side == http::Reader::Side::kRequests) {
      Require(whole.messages().size() == split.messages().size(),
              "reading byte by byte gives the same number of messages");
    }
  }
}

void Directives(std::string_view bytes) {
  const std::size_t line_end = bytes.find('\n');
  const std::string_view prefix = line_end == std::string_view::npos ? "#PBS" : bytes.substr(0, line_end);
  const auto read =
      cli::ReadDirectives(line_end == std::string_view::npos ? bytes : bytes.substr(line_end + 1), prefix);
  Require(!prefix.empty() || (read && read->empty()), "without a prefix there are no directives");
}

void Config(std::string_view bytes) {
  const auto loaded = config::ParseDaemon(std::string(bytes), "fuzz");
  if (loaded) {
    Require(!loaded->job_manager.classes.empty(), "a valid configuration has classes");
    return;
  }
  Require(!loaded.error().empty(), "an invalid configuration has errors");
  for (const std::string& error : config::DescribeEach(loaded.error())) {
    Require(error.rfind("fuzz: ", 0) == 0, "each error starts with the file name");
  }
}

void Entry(std::string_view bytes) {
  const auto node = discovery::DecodeNodeEntry(bytes);
  if (node) {
    const auto again = discovery::DecodeNodeEntry(discovery::EncodeNodeEntry(*node));
    Require(again.has_value(), "an encoded message can be decoded");
    Require(again->name == node->name && again->started == node->started,
            "decoding gives the encoded message");
  } else {
    Require(!Describe(node.error()).empty(), "the error describes what was expected");
  }
  const auto pairs = discovery::DecodeKeyValues(bytes);
  if (!pairs) Require(!Describe(pairs.error()).empty(), "the error describes what was expected");
}

namespace {

template <typename Reader, typename Message>
std::vector<Message> ReadInPieces(std::string_view bytes, std::size_t piece_size) {
  std::vector<Message> messages;
  Reader reader;
  Message message;
  for (std::size_t at = 0; at < bytes.size(); at += piece_size) {
    reader.Feed(bytes.substr(at, piece_size));
    for (;;) {
      const auto state = reader.Next(&message);
      if (state == Reader::State::kMessage) messages.push_back(message);
      if (state == Reader::State::kMore || state == Reader::State::kBroken) break;
    }
  }
  return messages;
}

// Checks that reading `bytes` whole and in pieces gives the same messages, and that each message survives
// encoding and decoding.
template <typename Reader, typename Message, typename Write>
void CheckWire(std::string_view bytes, Write write) {
  constexpr std::size_t kMaxPieceSize = 50;
  const std::size_t piece_size = (PieceSize(bytes) - 1) % kMaxPieceSize + 1;
  const std::vector<Message> whole = ReadInPieces<Reader, Message>(bytes, bytes.size() + 1);
  const std::vector<Message> pieces = ReadInPieces<Reader, Message>(bytes, piece_size);
  Require(whole == pieces, "reading in pieces gives the same messages");
  for (const Message& message : whole) {
    const std::string written = write(message);
    if (written.empty() || written.size() > platform::kMaxMessageBytes) continue;
    Reader reader;
    reader.Feed(written);
    Message reread;
    Require(reader.Next(&reread) == Reader::State::kMessage, "an encoded message can be decoded");
    Require(reread == message, "decoding gives the encoded message");
  }
}

}  // namespace

void ClientMessages(std::string_view bytes) {
  CheckWire<platform::ClientMessageReader, platform::ClientMessage>(bytes, platform::EncodeClientMessage);
}

void NodeMessages(std::string_view bytes) {
  CheckWire<platform::NodeMessageReader, platform::NodeMessage>(bytes, platform::EncodeNodeMessage);
}

}  // namespace mountflow::fuzz
