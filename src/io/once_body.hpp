// A request body that can be read once only. QNetworkAccessManager sends a
// POST a second time by itself when the connection closes before the reply; a
// sequential body that can't be reset makes that impossible.
#pragma once

#include <QByteArray>
#include <QIODevice>

namespace verbenahold {

class once_body : public QIODevice {
public:
    explicit once_body(QByteArray bytes, QObject* parent = nullptr);

    [[nodiscard]] bool isSequential() const override { return true; }
    [[nodiscard]] qint64 bytesAvailable() const override;
    // Always refuses: what was read can't be read again.
    bool seek(qint64 position) override;

protected:
    qint64 readData(char* data, qint64 size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray m_bytes;
    qint64 m_position = 0;
};

}  // namespace verbenahold
