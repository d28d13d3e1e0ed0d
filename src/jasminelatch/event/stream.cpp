#include "stream.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/socket_base.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <deque>
#include <utility>
#include <vector>

namespace jasminelatch::event {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

namespace internal {

/*! @brief Maximum number of chunks that are passed to the operating system in one call. */
constexpr std::size_t maxBuffersPerWrite = 16;
/*! @brief Size of a chunk above which further bytes go to a new one, so that sent ones are freed. */
constexpr std::size_t maxJoinedBytes = 65536;

} // namespace internal

class Stream::Impl: public std::enable_shared_from_this<Stream::Impl>
{
public:
    Impl(Loop &loop, Tcp::socket socket, Hooks hooks)
        : loop_{&loop}
        , socket_{std::move(socket)}
        , hooks_{std::move(hooks)}
    {
    }

    auto start() -> void
    {
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.set_option(Tcp::no_delay{true}, ignored);
        open_ = true;
        watchReads();
    }

    auto connect(const Endpoint &to, const Duration userTimeout) -> void
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address_v4(to.ip, error);
        socket_.open(Tcp::v4(), error);
        if (error) {
            loop_->defer([self = shared_from_this(), error] { self->fail(error.message()); });
            return;
        }
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(userTimeout).count();
        socket_.set_option(UserTimeout{static_cast<int>(milliseconds)}, error);
        socket_.async_connect(
            Tcp::endpoint{address, to.port},
            [self = shared_from_this()](const boost::system::error_code &result) { self->onConnected(result); });
    }

    auto write(const std::string_view bytes) -> void
    {
        if (closed_ || bytes.empty()) {
            return;
        }
        if (chunks_.empty() || chunks_.back().shared || chunks_.back().own.size() > internal::maxJoinedBytes) {
            chunks_.emplace_back();
        }
        chunks_.back().own.append(bytes);
        pendingBytes_ += bytes.size();
        scheduleFlush();
    }

    auto write(std::shared_ptr<const std::string> bytes) -> void
    {
        if (closed_ || !bytes || bytes->empty()) {
            return;
        }
        pendingBytes_ += bytes->size();
        chunks_.push_back({{}, std::move(bytes)});
        scheduleFlush();
    }

    auto closeWhenDrained() -> void
    {
        closing_ = true;
        if (chunks_.empty()) {
            close();
        }
    }

    auto close() -> void
    {
        closed_ = true;
        open_ = false;
        hooks_ = {};
        boost::system::error_code ignored;
        socket_.close(ignored);
        chunks_.clear();
        sentOfFront_ = 0;
        pendingBytes_ = 0;
    }

    auto pauseReading(const bool paused) -> void
    {
        paused_ = paused;
        if (!paused && open_ && !reading_) {
            watchReads();
        }
    }

    [[nodiscard]] auto pendingBytes() const -> std::size_t { return pendingBytes_; }

    [[nodiscard]] auto unacknowledgedBytes() -> std::size_t
    {
        int queued = 0;
        const auto known = open_ && ::ioctl(socket_.native_handle(), SIOCOUTQ, &queued) == 0;
        return pendingBytes_ + (known ? static_cast<std::size_t>(queued) : 0);
    }

    [[nodiscard]] auto hasSent() const -> bool { return sent_; }
    [[nodiscard]] auto isOpen() const -> bool { return open_; }

private:
    /*! @brief Unsent bytes: a copy, or a text shared with others. */
    struct Chunk {
        std::string own;
        std::shared_ptr<const std::string> shared;

        [[nodiscard]] auto text() const -> const std::string & { return shared ? *shared : own; }
    };

    auto onConnected(const boost::system::error_code &error) -> void
    {
        if (closed_) {
            return;
        }
        if (error) {
            fail(error.message());
            return;
        }
        start();
        if (hooks_.opened) {
            const auto opened = hooks_.opened;
            opened();
        }
        if (!closed_ && !chunks_.empty() && !flushing_) {
            flushing_ = true;
            flush();
        }
    }

    auto watchReads() -> void
    {
        if (paused_ || closed_) {
            reading_ = false;
            return;
        }
        reading_ = true;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            self->onReadable(error);
        });
    }

    auto onReadable(const boost::system::error_code &error) -> void
    {
        if (closed_) {
            return;
        }
        if (error) {
            fail(error.message());
            return;
        }
        auto &buffer = loop_->readBuffer();
        boost::system::error_code readError;
        const auto count = socket_.read_some(asio::buffer(buffer), readError);
        if (readError == asio::error::would_block || readError == asio::error::interrupted) {
            watchReads();
            return;
        }
        if (readError) {
            fail(readError == asio::error::eof ? "closed by the other end" : readError.message());
            return;
        }
        if (!closing_ && hooks_.data) {
            // The callback may clear `hooks_` and so destroy itself; call a copy.
            const auto data = hooks_.data;
            if (!loop_->guard([&] { data({buffer.data(), count}); }) && !closed_) {
                fail("exception in data handler");
                return;
            }
        }
        if (!closed_) {
            watchReads();
        }
    }

    auto scheduleFlush() -> void
    {
        if (open_ && !flushing_) {
            flushing_ = true;
            loop_->defer([self = shared_from_this()] { self->flush(); });
        }
    }

    /*! @brief Returns the first unsent bytes for one system call. */
    [[nodiscard]] auto unsentBuffers() const -> std::vector<asio::const_buffer>
    {
        std::vector<asio::const_buffer> buffers;
        for (const auto &chunk : chunks_) {
            buffers.push_back(asio::buffer(chunk.text()));
            if (buffers.size() == internal::maxBuffersPerWrite) {
                break;
            }
        }
        buffers.front() += sentOfFront_;
        return buffers;
    }

    auto removeSent(std::size_t count) -> void
    {
        pendingBytes_ -= count;
        while (count > 0) {
            const auto left = chunks_.front().text().size() - sentOfFront_;
            if (count < left) {
                sentOfFront_ += count;
                return;
            }
            count -= left;
            sentOfFront_ = 0;
            chunks_.pop_front();
        }
    }

    auto flush() -> void
    {
        flushing_ = false;
        if (closed_ || !open_ || chunks_.empty()) {
            return;
        }
        boost::system::error_code error;
        const auto count = socket_.write_some(unsentBuffers(), error);
        if (error == asio::error::would_block || error == asio::error::interrupted) {
            awaitWritable();
            return;
        }
        if (error) {
            fail(error.message());
            return;
        }
        sent_ = true;
        removeSent(count);
        if (!chunks_.empty()) {
            awaitWritable();
            return;
        }
        if (closing_) {
            close();
        } else if (hooks_.drained) {
            const auto drained = hooks_.drained;
            drained();
        }
    }

    auto awaitWritable() -> void
    {
        flushing_ = true;
        socket_.async_wait(Tcp::socket::wait_write,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               if (!error) {
                                   self->flush();
                               } else if (!self->closed_) {
                                   self->fail(error.message());
                               }
                           });
    }

    auto fail(const std::string_view reason) -> void
    {
        if (closed_) {
            return;
        }
        const auto closed = hooks_.closed;
        const std::string text{reason};
        close();
        if (closed) {
            closed(text);
        }
    }

    Loop *loop_;
    Tcp::socket socket_;
    Hooks hooks_;
    std::deque<Chunk> chunks_;
    std::size_t sentOfFront_{}; /*!< Bytes of the first chunk that are sent. */
    std::size_t pendingBytes_{};
    bool open_{};
    bool closed_{};
    bool closing_{};
    bool paused_{};
    bool reading_{};
    bool flushing_{};
    bool sent_{};
};

Stream::Stream(Loop &loop, Tcp::socket socket, Hooks hooks)
    : impl_{std::make_shared<Impl>(loop, std::move(socket), std::move(hooks))}
{
    impl_->start();
}

Stream::Stream(Loop &loop, const Endpoint &to, const Duration userTimeout, Hooks hooks)
    : impl_{std::make_shared<Impl>(loop, Tcp::socket{loop.context()}, std::move(hooks))}
{
    impl_->connect(to, userTimeout);
}

Stream::~Stream()
{
    impl_->close();
}

auto Stream::write(const std::string_view bytes) -> void
{
    impl_->write(bytes);
}

auto Stream::write(std::shared_ptr<const std::string> bytes) -> void
{
    impl_->write(std::move(bytes));
}

auto Stream::closeWhenDrained() -> void
{
    impl_->closeWhenDrained();
}

auto Stream::close() -> void
{
    impl_->close();
}

auto Stream::pauseReading(const bool paused) -> void
{
    impl_->pauseReading(paused);
}

auto Stream::pendingBytes() const -> std::size_t
{
    return impl_->pendingBytes();
}

auto Stream::unacknowledgedBytes() const -> std::size_t
{
    return impl_->unacknowledgedBytes();
}

auto Stream::hasSent() const -> bool
{
    return impl_->hasSent();
}

auto Stream::isOpen() const -> bool
{
    return impl_->isOpen();
}

auto isRefused(const std::string_view reason) -> bool
{
    static const auto refused = boost::system::error_code{asio::error::connection_refused}.message();
    return reason == refused;
}

} // namespace jasminelatch::event
