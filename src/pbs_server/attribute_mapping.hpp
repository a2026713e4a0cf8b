// Conversion between attributes of the batch protocol and the job manager's jobs. Clients, daemon and nodes
// all use the attribute names of this one table.
#ifndef MOUNTFLOW_PBS_SERVER_ATTRIBUTE_MAPPING_HPP_
#define MOUNTFLOW_PBS_SERVER_ATTRIBUTE_MAPPING_HPP_

#include <string>
#include <tl/expected.hpp>

#include "job_manager/job.hpp"
#include "job_manager/job_manager.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/attribute_error.hpp"
#include "pbs_server/vocabulary.hpp"

namespace mountflow::pbs_server {

using AttributeResult = tl::expected<void, AttributeError>;

// Decodes the attributes of a submission and its destination queue into `spec`. After an error, `spec` holds
// the values of the attributes before the invalid one.
[[nodiscard]] AttributeResult DecodeSubmission(const pbs_protocol::Attributes& attributes,
                                               const std::string& destination, const Vocabulary& vocabulary,
                                               job_manager::JobSpec* spec);
// Decodes the attributes of an alteration of a job into `spec`. Rejects attributes that are fixed at
// submission, such as the key. The queue stays the same. Errors leave `spec` as DecodeSubmission does.
[[nodiscard]] AttributeResult DecodeAlteration(const pbs_protocol::Attributes& attributes,
                                               const Vocabulary& vocabulary, job_manager::JobSpec* spec);

// Returns the attributes that a node needs to run a job and to report on it.
[[nodiscard]] pbs_protocol::Attributes EncodeForNode(const job_manager::JobSpec& spec,
                                                     const Vocabulary& vocabulary);

// Returns all attributes of a job for a status reply.
[[nodiscard]] pbs_protocol::Attributes EncodeForStatus(const job_manager::JobManager& job_manager,
                                                       const job_manager::Job& job,
                                                       const Vocabulary& vocabulary);

// Returns the reply code for the result of a job manager command.
[[nodiscard]] pbs_protocol::Code ReplyCodeOf(job_manager::CommandResult result);

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_ATTRIBUTE_MAPPING_HPP_
