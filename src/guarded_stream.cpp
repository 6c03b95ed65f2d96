#include "guarded_stream.hpp"

#include "processor_share.hpp"
#include "request_framing.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

/// Maximum number of bytes that are read in a row; libsoup reads in one
/// dispatch until a read would block.
constexpr std::size_t max_burst_bytes = std::size_t{64} * 1024;

/// Share of the time in which the chunks of request bodies are parsed, and the
/// time for which they are parsed at once. Bodies in chunks of a few bytes cost
/// many times as much as others; the rest of the time is for everything else.
constexpr double chunk_parsing_share = 0.5;
constexpr duration chunk_parsing_burst = milliseconds(5);

/// @return what all connections of the main loop use for chunks
processor_share &chunk_parsing()
{
    static processor_share share(chunk_parsing_share, chunk_parsing_burst);
    return share;
}

instant steady_now()
{
    return instant(std::chrono::microseconds(g_get_monotonic_time()));
}

constexpr std::string_view bad_request_answer =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

/// State of the reading side of a guarded connection.
struct guard_state
{
    gobject_ptr<GIOStream> base;
    std::shared_ptr<connection_activity> activity;
    request_framing framing;
    /// Checked bytes that were not read yet.
    std::string ready;
    std::size_t ready_begin = 0;
    std::size_t burst_bytes = 0;
    bool answered_fault = false;

    GInputStream *input() const
    {
        return g_io_stream_get_input_stream(base.get());
    }

    bool has_ready_bytes() const { return ready_begin < ready.size(); }

    gssize take(void *buffer, gsize size)
    {
        auto const count = std::min(size, ready.size() - ready_begin);
        std::copy_n(ready.data() + ready_begin, count,
                    static_cast<char *>(buffer));
        ready_begin += count;
        if (!has_ready_bytes())
        {
            // Connections without bytes keep no buffer.
            ready = std::string();
            ready_begin = 0;
        }
        return static_cast<gssize>(count);
    }

    gssize fail(GError **error)
    {
        if (framing.malformed_body() && !std::exchange(answered_fault, true))
        {
            g_pollable_output_stream_write_nonblocking(
                G_POLLABLE_OUTPUT_STREAM(
                    g_io_stream_get_output_stream(base.get())),
                bad_request_answer.data(), bad_request_answer.size(), nullptr,
                nullptr);
        }
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
                            "the framing of the request is not valid");
        return -1;
    }

    gssize read(void *buffer, gsize size, bool blocking,
                GCancellable *cancellable, GError **error)
    {
        while (!has_ready_bytes())
        {
            if (framing.malformed())
            {
                return fail(error);
            }
            if (!blocking && burst_bytes >= max_burst_bytes)
            {
                burst_bytes = 0;
                return defer(error);
            }
            if (!blocking && deferred_time() > duration(0))
            {
                return defer(error);
            }
            std::array<char, read_buffer_bytes> bytes;
            auto const count =
                g_pollable_stream_read(input(), bytes.data(), bytes.size(),
                                       blocking, cancellable, error);
            if (count == 0 && framing.in_body())
            {
                // libsoup would take an end between two chunks for the end of
                // the body.
                g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
                                    "the connection ended within a body");
                return -1;
            }
            if (count <= 0)
            {
                burst_bytes = 0;
                if (!is_end(count, error) || !end_requests())
                {
                    return count;
                }
                g_clear_error(error);
                continue;
            }
            burst_bytes += static_cast<std::size_t>(count);
            check({bytes.data(), static_cast<std::size_t>(count)});
            report_unfinished_bytes();
        }
        return take(buffer, size);
    }

    static gssize defer(GError **error)
    {
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                            "other connections are read first");
        return -1;
    }

    /// @return time for which the next read waits
    duration deferred_time() const
    {
        return framing.in_chunks() ? chunk_parsing().wait(steady_now())
                                   : duration(0);
    }

    void check(std::string_view bytes)
    {
        auto const began_at = steady_now();
        framing.add(bytes, ready);
        if (framing.in_chunks())
        {
            auto const now = steady_now();
            chunk_parsing().record(now - began_at, now);
        }
    }

    void report_unfinished_bytes() const
    {
        auto const before = std::exchange(activity->unfinished_bytes,
                                          framing.unfinished_bytes());
        if (before != activity->unfinished_bytes && activity->on_change)
        {
            activity->on_change(before);
        }
    }

    static bool is_end(gssize count, GError **error)
    {
        return count == 0 ||
               (error != nullptr &&
                !g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
    }

    /// @return true when bytes were added that make libsoup release the
    ///         connection; its answer to them does not reach the peer
    bool end_requests()
    {
        framing.end(ready);
        if (has_ready_bytes() && G_IS_SOCKET_CONNECTION(base.get()))
        {
            g_socket_shutdown(
                g_socket_connection_get_socket(G_SOCKET_CONNECTION(base.get())),
                FALSE, TRUE, nullptr);
        }
        return has_ready_bytes();
    }

    bool is_readable() const
    {
        return has_ready_bytes() || framing.malformed() ||
               g_pollable_input_stream_is_readable(
                   G_POLLABLE_INPUT_STREAM(input())) != FALSE;
    }
};

} // namespace

// Instance structures of the GObject types; GObject allocates them zeroed.
struct guarded_input
{
    GInputStream parent;
    guard_state *state;
};

struct guarded_input_class
{
    GInputStreamClass parent;
};

struct guarded_connection
{
    GIOStream parent;
    GIOStream *base;
    GInputStream *input;
};

struct guarded_connection_class
{
    GIOStreamClass parent;
};

namespace
{

guard_state &state_of(gpointer stream)
{
    return *static_cast<guarded_input *>(stream)->state;
}

/// Runs the finalizer of the type that a final type derives from.
void finalize_parent(GObject *object)
{
    auto *parent = g_type_class_peek_parent(G_OBJECT_GET_CLASS(object));
    G_OBJECT_CLASS(parent)->finalize(object);
}

void guarded_input_init(GTypeInstance *self, gpointer)
{
    reinterpret_cast<guarded_input *>(self)->state =
        std::make_unique<guard_state>().release();
}

void guarded_input_finalize(GObject *object)
{
    std::unique_ptr<guard_state> const state(
        reinterpret_cast<guarded_input *>(object)->state);
    finalize_parent(object);
}

void guarded_input_class_init(gpointer methods, gpointer)
{
    G_OBJECT_CLASS(methods)->finalize = guarded_input_finalize;
    G_INPUT_STREAM_CLASS(methods)->read_fn =
        [](GInputStream *stream, void *buffer, gsize size,
           GCancellable *cancellable, GError **error)
    { return state_of(stream).read(buffer, size, true, cancellable, error); };
}

void guarded_input_pollable_init(gpointer interface, gpointer)
{
    auto *methods = static_cast<GPollableInputStreamInterface *>(interface);
    methods->is_readable = [](GPollableInputStream *stream) -> gboolean
    { return state_of(stream).is_readable() ? TRUE : FALSE; };
    methods->read_nonblocking = [](GPollableInputStream *stream, void *buffer,
                                   gsize size, GError **error)
    { return state_of(stream).read(buffer, size, false, nullptr, error); };
    methods->create_source =
        [](GPollableInputStream *stream, GCancellable *cancellable)
    {
        auto const &state = state_of(stream);
        bool const ready = state.has_ready_bytes() || state.framing.malformed();
        auto const deferred = std::chrono::ceil<milliseconds>(
            ready ? duration(0) : state.deferred_time());
        auto *wait =
            ready || deferred.count() > 0
                ? g_timeout_source_new(static_cast<guint>(deferred.count()))
                : g_pollable_input_stream_create_source(
                      G_POLLABLE_INPUT_STREAM(state.input()), nullptr);
        auto *source = g_pollable_source_new_full(stream, wait, cancellable);
        g_source_unref(wait);
        return source;
    };
}

void guarded_connection_finalize(GObject *object)
{
    auto *self = reinterpret_cast<guarded_connection *>(object);
    g_clear_object(&self->input);
    g_clear_object(&self->base);
    finalize_parent(object);
}

void guarded_connection_class_init(gpointer methods, gpointer)
{
    G_OBJECT_CLASS(methods)->finalize = guarded_connection_finalize;
    auto *stream = G_IO_STREAM_CLASS(methods);
    stream->get_input_stream = [](GIOStream *self)
    { return reinterpret_cast<guarded_connection *>(self)->input; };
    stream->get_output_stream = [](GIOStream *self)
    {
        return g_io_stream_get_output_stream(
            reinterpret_cast<guarded_connection *>(self)->base);
    };
    stream->close_fn =
        [](GIOStream *self, GCancellable *cancellable, GError **error)
    {
        return g_io_stream_close(
            reinterpret_cast<guarded_connection *>(self)->base, cancellable,
            error);
    };
    stream->close_async = [](GIOStream *self, int priority,
                             GCancellable *cancellable,
                             GAsyncReadyCallback callback, gpointer data)
    {
        auto *task = g_task_new(self, cancellable, callback, data);
        g_io_stream_close_async(
            reinterpret_cast<guarded_connection *>(self)->base, priority,
            cancellable,
            [](GObject *base, GAsyncResult *result, gpointer waiting)
            {
                gobject_ptr<GTask> const owned(static_cast<GTask *>(waiting));
                GError *error = nullptr;
                if (g_io_stream_close_finish(G_IO_STREAM(base), result,
                                             &error) != FALSE)
                {
                    g_task_return_boolean(owned.get(), TRUE);
                }
                else
                {
                    g_task_return_error(owned.get(), error);
                }
            },
            task);
    };
    stream->close_finish = [](GIOStream *, GAsyncResult *result, GError **error)
    { return g_task_propagate_boolean(G_TASK(result), error); };
}

GType guarded_input_type()
{
    static GType const type = []
    {
        auto const created = g_type_register_static_simple(
            G_TYPE_INPUT_STREAM, "agateledge_guarded_input",
            sizeof(guarded_input_class), guarded_input_class_init,
            sizeof(guarded_input), guarded_input_init, G_TYPE_FLAG_NONE);
        GInterfaceInfo const pollable{guarded_input_pollable_init, nullptr,
                                      nullptr};
        g_type_add_interface_static(created, G_TYPE_POLLABLE_INPUT_STREAM,
                                    &pollable);
        return created;
    }();
    return type;
}

GType guarded_connection_type()
{
    static GType const type = g_type_register_static_simple(
        G_TYPE_IO_STREAM, "agateledge_guarded_connection",
        sizeof(guarded_connection_class), guarded_connection_class_init,
        sizeof(guarded_connection), nullptr, G_TYPE_FLAG_NONE);
    return type;
}

} // namespace

gobject_ptr<GIOStream>
guard_requests(GIOStream *base, std::shared_ptr<connection_activity> activity)
{
    auto *input = static_cast<guarded_input *>(
        g_object_new(guarded_input_type(), nullptr));
    input->state->base = gobject_share(base);
    input->state->activity = std::move(activity);
    auto *connection = static_cast<guarded_connection *>(
        g_object_new(guarded_connection_type(), nullptr));
    connection->base = gobject_share(base).release();
    connection->input = G_INPUT_STREAM(input);
    return gobject_ptr<GIOStream>(G_IO_STREAM(connection));
}

} // namespace agateledge
