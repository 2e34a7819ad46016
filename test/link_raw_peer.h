/** @file link_raw_peer.h A peer that sends arbitrary bytes to a link task. */
#ifndef WAXWING_TEST_LINK_RAW_PEER_H
#define WAXWING_TEST_LINK_RAW_PEER_H

#include "link/handshake_base.h"
#include "loop/loop.h"

#include <cerrno>
#include <criterion/criterion.h>
#include <memory>
#include <string>
#include <vector>

namespace waxwing_test {

/** HTTP request that upgrades the connection to a WebSocket. */
inline const std::string upgrade_request = "GET /link HTTP/1.1\r\nHost: test\r\nUpgrade: websocket\r\n"
                                           "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                           "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

/** Returns a WebSocket client frame with the first byte @p first and a mask of zeros. */
inline std::string client_frame(std::string_view payload, unsigned char first = 0x82)
{
    std::string bytes(1, static_cast<char>(first));
    if (payload.size() < 126) {
        bytes.push_back(static_cast<char>(0x80U | payload.size()));
    }
    else {
        bytes.push_back(static_cast<char>(0x80U | 126U));
        bytes.push_back(static_cast<char>(payload.size() >> 8U));
        bytes.push_back(static_cast<char>(payload.size()));
    }
    bytes.append(4, '\0');
    return bytes.append(payload);
}

/** A connection to a link task, controlled by the test. */
class raw_peer {
public:
    raw_peer(waxwing::event_loop& loop, const waxwing::endpoint& to)
        : m_socket(std::move(waxwing::start_connect(to)).value()),
          m_watcher(loop, [this](int events) { on_ready(events); })
    {
        m_watcher.watch(m_socket.get(), EV_READ | EV_WRITE);
    }

    /** Sends @p bytes once connected. */
    void send(const std::string& bytes)
    {
        m_output += bytes;
        m_watcher.watch(m_socket.get(), EV_READ | EV_WRITE);
    }

    /** Stops reading; received bytes stay in the kernel's buffer. */
    void stop_reading() { m_watcher.stop(); }

    /** Writes pending output without reading. */
    void write_only()
    {
        m_reading = false;
        m_watcher.watch(m_socket.get(), EV_WRITE);
    }

    /** Resumes reading. */
    void start_reading() { m_watcher.watch(m_socket.get(), EV_READ); }

    /** Shuts down the sending side; received bytes can still be read. */
    void finish_sending() { shutdown(m_socket.get(), SHUT_WR); }

    /** Sends @p bytes immediately, without the loop. @pre Connected; @p bytes fit in the kernel's buffer. */
    void send_now(const std::string& bytes)
    {
        cr_assert(::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
    }

    /** Returns whether the link task has closed the connection. */
    bool ended() const { return m_ended; }

    /** Returns all received bytes. */
    const std::string& input() const { return m_input; }

    /** Returns the payloads of the complete binary frames that follow the response to the upgrade. */
    std::vector<std::string> frames() const
    {
        std::vector<std::string> payloads;
        parse_frames(payloads);
        return payloads;
    }

    /** Returns whether bytes of an incomplete frame were received. */
    bool has_partial_frame() const
    {
        std::vector<std::string> payloads;
        return parse_frames(payloads) < m_input.size();
    }

    /** Starts the handshake as @p self with the expected peer @p other. */
    void start_handshake(const std::string& self, const std::string& other, std::string_view key)
    {
        waxwing::handshake_settings settings;
        settings.m_key = key;
        settings.m_self = {self};
        settings.m_peer = {other};
        settings.m_hello.m_nonce = std::string(waxwing::nonce_size, 'n');
        settings.m_hello.m_message_limit = 1 << 20;
        settings.m_hello.m_reassembly_limit = 4 << 20;
        settings.m_hello.m_stream_limit = 8;
        m_handshake = std::make_unique<waxwing::handshake>(settings);
        send(upgrade_request);
    }

    /** Continues the handshake. @return whether it is complete. */
    bool handshake_done()
    {
        if (m_step == 0 && m_input.find("\r\n\r\n") != std::string::npos) {
            send(client_frame(m_handshake->first_message()));
            m_step = 1;
        }
        const std::vector<std::string> payloads = frames();
        while (m_step >= 1 && m_step <= 2 && payloads.size() >= m_step) {
            const auto step = m_handshake->accept(payloads[m_step - 1]);
            cr_assert(step.has_value());
            if (!step.value().m_reply.empty()) {
                send(client_frame(step.value().m_reply));
            }
            ++m_step;
        }
        return m_step == 3;
    }

private:
    /** Appends complete binary payloads to @p payloads. @return where the last complete frame ends. */
    std::size_t parse_frames(std::vector<std::string>& payloads) const
    {
        constexpr std::size_t short_head = 2;
        constexpr std::size_t long_head = 4;
        constexpr std::size_t long_mark = 126;
        const std::size_t upgraded = m_input.find("\r\n\r\n");
        std::size_t at = upgraded == std::string::npos ? m_input.size() : upgraded + 4;
        const auto byte = [&](std::size_t place) { return static_cast<unsigned char>(m_input[place]); };
        while (at + short_head <= m_input.size()) {
            const bool is_long = byte(at + 1) == long_mark;
            const std::size_t head = is_long ? long_head : short_head;
            if (at + head > m_input.size()) {
                break;
            }
            const std::size_t size = is_long ? byte(at + 2) * 256U + byte(at + 3) : byte(at + 1);
            if (at + head + size > m_input.size()) {
                break;
            }
            if (byte(at) == 0x82) {
                payloads.push_back(m_input.substr(at + head, size));
            }
            at += head + size;
        }
        return at;
    }

    void on_ready(int events)
    {
        const auto event_bits = static_cast<unsigned>(events);
        if ((event_bits & EV_WRITE) != 0) {
            const ssize_t size = ::send(m_socket.get(), m_output.data(), m_output.size(), MSG_NOSIGNAL);
            if (size > 0) {
                m_output.erase(0, static_cast<std::size_t>(size));
            }
            const int reading = m_reading ? EV_READ : 0;
            m_watcher.watch(m_socket.get(), m_output.empty() ? reading : reading | EV_WRITE);
        }
        if ((event_bits & EV_READ) != 0) {
            std::vector<char> buffer(256 * 1024);
            const ssize_t size = recv(m_socket.get(), buffer.data(), buffer.size(), 0);
            if (size > 0) {
                m_input.append(buffer.data(), static_cast<std::size_t>(size));
                return;
            }
            m_ended = size == 0 || (errno != EAGAIN && errno != EINTR);
            if (m_ended) {
                m_watcher.stop();
            }
        }
    }

    waxwing::descriptor m_socket;
    waxwing::io_watcher m_watcher;
    std::unique_ptr<waxwing::handshake> m_handshake;
    std::size_t m_step = 0;
    std::string m_output;
    std::string m_input;
    bool m_reading = true;
    bool m_ended = false;
};

} // namespace waxwing_test

#endif
