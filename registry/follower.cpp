#include "registry/follower.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "registry/entry.hpp"

namespace mountflow::registry {

std::optional<std::string> Follower::Next(Micros now) {
  if (out_ || now < next_at_) return std::nullopt;
  out_ = true;
  read_at_ = now;
  std::string target = "/v1/kv/" + http::EncodeUrl(options_.prefix) + "?recurse=true";
  if (index_ != 0) {
    target += "&index=" + std::to_string(index_) + "&wait=" + std::to_string(options_.wait / 1000) + "ms";
    overdue_at_ = now + options_.wait + options_.wait / 16 + options_.slack;
  } else {
    overdue_at_ = now + options_.slack;
  }
  std::vector<std::pair<std::string, std::string>> headers = {{"Host", "registry"}};
  if (!options_.token.empty()) headers.emplace_back("X-Consul-Token", options_.token);
  return http::WriteRequest("GET", target, headers, "");
}

Micros Follower::NextTimer() const { return out_ ? overdue_at_ : next_at_; }

std::optional<core::ListView> Follower::OnReply(Micros now, const http::Message& reply) {
  out_ = false;
  const std::uint64_t index = std::strtoull(reply.Header("x-consul-index").c_str(), nullptr, 10);
  std::vector<KeyValue> pairs;
  std::string expected;
  if ((reply.status != 200 && reply.status != 404) || index == 0) {
    OnFailure(now, "status " + std::to_string(reply.status));
    return std::nullopt;
  }
  if (reply.status == 200 && !ReadKv(reply.body, &pairs, &expected)) {
    OnFailure(now, "expected " + expected);
    return std::nullopt;
  }
  failures_ = 0;
  next_at_ = read_at_ + options_.least_pause;
  // An index that goes backwards means that the registry's history was restored: start anew (Consul's rule).
  index_ = index < index_ ? 0 : index;

  core::ListView view;
  view.mode = has_view_ ? ViewMode::kChanges : ViewMode::kFull;
  std::map<std::string, std::pair<std::uint64_t, core::ListedNode>> now_there;
  for (const KeyValue& kv : pairs) {
    const auto had = seen_.find(kv.key);
    if (had != seen_.end() && had->second.first == kv.modify_index && kv.modify_index != 0) {
      now_there.insert(*had);
      if (!has_view_) view.nodes.push_back(had->second.second);
      continue;
    }
    core::ListedNode node;
    if (!ReadEntry(kv.value, &node, &expected)) {
      std::uint64_t& told = skipped_[kv.key];
      if (told != kv.modify_index)
        complaints_.push_back("entry " + kv.key.substr(0, 200) + " skipped: expected " + expected);
      told = kv.modify_index;
      if (had != seen_.end()) now_there.insert(*had);  // what was known of it stands
      continue;
    }
    skipped_.erase(kv.key);
    view.nodes.push_back(node);
    now_there[kv.key] = {kv.modify_index, node};
  }
  for (const auto& [key, had] : seen_) {
    if (now_there.count(key) > 0 || !has_view_) continue;
    core::ListedNode gone = had.second;
    gone.state = MachineState::kGone;
    view.nodes.push_back(gone);
  }
  std::erase_if(skipped_, [&pairs](const auto& one) {
    return std::none_of(pairs.begin(), pairs.end(),
                        [&one](const KeyValue& kv) { return kv.key == one.first; });
  });
  seen_ = std::move(now_there);
  const bool first = !has_view_;
  has_view_ = true;
  if (!first && view.nodes.empty()) return std::nullopt;
  return view;
}

void Follower::OnFailure(Micros now, const std::string& why) {
  out_ = false;
  const Micros pause = std::min(options_.most_backoff, options_.first_backoff << std::min(failures_, 10u));
  ++failures_;
  next_at_ = now + pause;
  complaints_.push_back("node list: " + why + "; next try in " + std::to_string(pause / 1000) + " ms");
}

void Follower::AskAgain(Micros now) {
  if (!out_) next_at_ = std::min(next_at_, now + options_.least_pause);
}

std::vector<std::string> Follower::TakeComplaints() { return std::exchange(complaints_, {}); }

}  // namespace mountflow::registry
