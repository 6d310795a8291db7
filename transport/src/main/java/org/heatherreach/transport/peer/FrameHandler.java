package org.heatherreach.transport.peer;

import java.util.function.Consumer;

import org.heatherreach.protocol.peer.wire.Frame;

/** Handles frames that arrive from peers. Called by event loops, so it must not block. */
@FunctionalInterface
public interface FrameHandler {
    /**
     * Handles a frame.
     *
     * @param frame the frame; its receiver is this process
     * @param reply sends the response to the frame; ids are filled in; may be called by any thread, at most once
     */
    void receive(Frame frame, Consumer<Frame.Builder> reply);
}
