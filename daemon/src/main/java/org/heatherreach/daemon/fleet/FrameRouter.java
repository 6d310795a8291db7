package org.heatherreach.daemon.fleet;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.protocol.peer.MessageException;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.transport.peer.FrameHandler;

/**
 * Dispatches each frame to the handler of its message type. A frame of an unknown type or with a malformed message is
 * counted and dropped.
 *
 * <p>Thread safety: {@link #receive} is safe for use by any thread; handlers are added before the links are bound.
 */
public final class FrameRouter implements FrameHandler {
    private final Map<Frame.BodyCase, FrameHandler> handlers = new EnumMap<>(Frame.BodyCase.class);
    private final Counter unknownFrames;
    private final Counter malformedFrames;

    /** Creates a router without handlers. */
    public FrameRouter(MeterRegistry registry) {
        unknownFrames = registry.counter("heatherreach.peer.frames.refused", "reason", "unknown-kind");
        malformedFrames = registry.counter("heatherreach.peer.frames.refused", "reason", "malformed");
    }

    /**
     * Adds the handler of a message type.
     *
     * @throws IllegalStateException if the type already has a handler
     */
    public void addHandler(Frame.BodyCase kind, FrameHandler handler) {
        if (handlers.putIfAbsent(kind, Objects.requireNonNull(handler, "handler")) != null) {
            throw new IllegalStateException("a handler is already registered for " + kind);
        }
    }

    @Override
    public void receive(Frame frame, Consumer<Frame.Builder> reply) {
        FrameHandler handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            unknownFrames.increment();
            return;
        }
        try {
            handler.receive(frame, reply);
        } catch (MessageException e) {
            malformedFrames.increment();
        }
    }
}
