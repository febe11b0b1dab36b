// A request body that can be read only once. QNetworkAccessManager repeats a
// POST on its own if the connection closes before the reply; it can't do so with
// a sequential body that does not seek.
#pragma once

#include <QByteArray>
#include <QIODevice>

namespace verbenahold {

class non_rewindable_body : public QIODevice {
public:
    explicit non_rewindable_body(QByteArray bytes, QObject* parent = nullptr);

    [[nodiscard]] bool isSequential() const override { return true; }
    [[nodiscard]] qint64 bytesAvailable() const override;
    // Always fails, so that the body can't be read again.
    bool seek(qint64 position) override;

protected:
    qint64 readData(char* data, qint64 size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray m_bytes;
    qint64 m_position = 0;
};

}  // namespace verbenahold
