#include "platform/request_table.hpp"

#include <utility>

namespace mountflow::platform {

bool RequestTable::HasCapacityForRequest(ConnId conn, std::size_t description_bytes) const {
  return requests_.size() < kMaxRequests && unanswered_ < kMaxUnanswered &&
         unanswered_on(conn) < kMaxUnansweredPerConnection &&
         description_bytes_ + description_bytes <= max_description_bytes_;
}

Request& RequestTable::Add(RequestUid uid, ConnId conn, ClientHost host) {
  const RequestId id = ++last_id_;
  Request& request = requests_[id];
  request.id = id;
  request.uid = uid;
  request.conn = conn;
  request.host = host;
  by_uid_[uid] = id;
  return request;
}

Request* RequestTable::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Request* RequestTable::FindByUid(RequestUid uid) {
  const auto found = by_uid_.find(uid);
  return found == by_uid_.end() ? nullptr : Find(found->second);
}

void RequestTable::Remove(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  description_bytes_ -= found->second.payload.description.size();
  by_uid_.erase(found->second.uid);
  requests_.erase(found);
}

void RequestTable::AddUnanswered(const Request& request, LaunchPayload payload) {
  ++unanswered_;
  unanswered_by_conn_[request.conn].insert(request.id);
  description_bytes_ += payload.description.size();
  requests_.at(request.id).payload = std::move(payload);
}

void RequestTable::MarkAnswered(Request& request) {
  if (request.answered) return;
  request.answered = true;
  --unanswered_;
  const auto on_conn = unanswered_by_conn_.find(request.conn);
  if (on_conn == unanswered_by_conn_.end()) return;
  on_conn->second.erase(request.id);
  if (on_conn->second.empty()) unanswered_by_conn_.erase(on_conn);
}

void RequestTable::UncountRunning(const Request& request) {
  const auto on_conn = running_by_conn_.find(request.conn);
  if (on_conn == running_by_conn_.end()) return;
  if (--on_conn->second == 0) running_by_conn_.erase(on_conn);
}

void RequestTable::ReleasePayload(Request& request) {
  description_bytes_ -= request.payload.description.size();
  // Moves the payload out, because assigning empty strings to it would not free their memory.
  const LaunchPayload released = std::exchange(request.payload, {});
}

std::set<RequestId> RequestTable::UnansweredOn(ConnId conn) const {
  const auto on_conn = unanswered_by_conn_.find(conn);
  return on_conn == unanswered_by_conn_.end() ? std::set<RequestId>() : on_conn->second;
}

std::vector<RequestId> RequestTable::Unanswered() const {
  std::vector<RequestId> unanswered;
  for (const auto& [conn, ids] : unanswered_by_conn_) {
    unanswered.insert(unanswered.end(), ids.begin(), ids.end());
  }
  return unanswered;
}

std::size_t RequestTable::unanswered_on(ConnId conn) const {
  const auto on_conn = unanswered_by_conn_.find(conn);
  return on_conn == unanswered_by_conn_.end() ? 0 : on_conn->second.size();
}

std::size_t RequestTable::running_on(ConnId conn) const {
  const auto on_conn = running_by_conn_.find(conn);
  return on_conn == running_by_conn_.end() ? 0 : on_conn->second;
}

}  // namespace mountflow::platform
