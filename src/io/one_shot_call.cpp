#include "one_shot_call.hpp"

#include <utility>

namespace verbenahold {

void one_shot_call::start(http_call call, QObject* parent, answer_callback done) {
    if (call.body.isEmpty()) {
        call.body = "\n";
    }
    // Owned by its parent until it deletes itself.
    new one_shot_call(call, parent, std::move(done));  // NOLINT(cppcoreguidelines-owning-memory)
}

one_shot_call::one_shot_call(const http_call& call, QObject* parent, answer_callback done) : QObject(parent) {
    m_client.send(call, [this, finished = std::move(done)](const http_answer& answer) {
        deleteLater();
        finished(answer);
    });
}

}  // namespace verbenahold
