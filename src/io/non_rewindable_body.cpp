#include "non_rewindable_body.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace verbenahold {

non_rewindable_body::non_rewindable_body(QByteArray bytes, QObject* parent)
    : QIODevice(parent), m_bytes(std::move(bytes)) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 non_rewindable_body::bytesAvailable() const {
    return m_bytes.size() - m_position + QIODevice::bytesAvailable();
}

bool non_rewindable_body::seek(qint64 /*position*/) {
    return false;
}

qint64 non_rewindable_body::readData(char* data, qint64 size) {
    const qint64 count = std::min<qint64>(size, m_bytes.size() - m_position);
    if (count == 0) {
        return -1;
    }
    std::memcpy(data, m_bytes.constData() + m_position, static_cast<std::size_t>(count));
    m_position += count;
    return count;
}

qint64 non_rewindable_body::writeData(const char* /*data*/, qint64 /*size*/) {
    return -1;
}

}  // namespace verbenahold
