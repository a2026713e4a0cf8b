#include "node_agent/node_capacity.hpp"

#include <array>
#include <cstdio>

namespace mountflow::node_agent {
namespace {

constexpr double kRoundingTolerance = 1e-9;    // above the rounding error of the sums of reservations
constexpr std::size_t kMaxShortageText = 128;  // bytes

}  // namespace

NodeCapacity::NodeCapacity(const NodeConfig& config)
    : cores_(config.cores),
      memory_(config.memory),
      max_reserved_cores_(config.cores * config.overcommit_cores),
      max_reserved_memory_(config.memory * config.overcommit_memory) {}

std::optional<RejectionReason> NodeCapacity::FindShortage(const TaskSpec& spec) const {
  if (reserved_cores_ + spec.cores > max_reserved_cores_ + kRoundingTolerance) {
    return RejectionReason::kNoCores;
  }
  if (reserved_memory_ + spec.memory > max_reserved_memory_ + kRoundingTolerance) {
    return RejectionReason::kNoMemory;
  }
  return std::nullopt;
}

bool NodeCapacity::FitsAfterRelease(const TaskSpec& spec, double cores, double memory) const {
  return reserved_cores_ - cores + spec.cores <= max_reserved_cores_ &&
         reserved_memory_ - memory + spec.memory <= max_reserved_memory_;
}

void NodeCapacity::Reserve(const TaskSpec& spec) {
  reserved_cores_ += spec.cores;
  reserved_memory_ += spec.memory;
}

void NodeCapacity::Release(const TaskSpec& spec) {
  reserved_cores_ -= spec.cores;
  reserved_memory_ -= spec.memory;
}

void NodeCapacity::Reset() {
  reserved_cores_ = 0.0;
  reserved_memory_ = 0.0;
}

std::string NodeCapacity::DescribeShortage(RejectionReason reason, const TaskSpec& spec) const {
  const bool of_cores = reason == RejectionReason::kNoCores;
  std::array<char, kMaxShortageText> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%s: %.6g of %.6g free, asked for %.6g",
                of_cores ? text::kNoCores : text::kNoMemory, of_cores ? free_cores() : free_memory(),
                of_cores ? cores_ : memory_, of_cores ? spec.cores : spec.memory);
  return buffer.data();
}

}  // namespace mountflow::node_agent
