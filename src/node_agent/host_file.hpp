// Reads the file that describes a host and its nodes. It is JSON with comments,
// {"list": .., "control": .., "nodes": [..]}, and is checked against a schema.
#ifndef MOUNTFLOW_NODE_AGENT_HOST_FILE_HPP_
#define MOUNTFLOW_NODE_AGENT_HOST_FILE_HPP_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "config/config_error.hpp"
#include "node_agent/host_options.hpp"

namespace mountflow::node_agent {

// The contents of a host file.
struct HostFile {
  NodeHostOptions options;
  std::vector<HostedNodeConfig> nodes;
};

// Reads and checks a host file. Options that the file does not set have their values from `defaults`. Returns
// all violations of the schema or, if there are none, the first other error.
[[nodiscard]] tl::expected<HostFile, config::ConfigErrors> ReadHostFile(const std::string& file,
                                                                        NodeHostOptions defaults);

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_HOST_FILE_HPP_
