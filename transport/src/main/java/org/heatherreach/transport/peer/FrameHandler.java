package org.heatherreach.transport.peer;

import java.util.function.Consumer;

import org.heatherreach.protocol.peer.wire.Frame;

/** Handles frames that arrive from peers. Called by event loops, so it must not block. */
@FunctionalInterface
public interface FrameHandler {
    /**
     * Handles a frame.
     *
     * @param frame the frame, addressed to the incarnation of this process
     * @param reply sends the response to the frame, after setting its sender, receiver and correlation id; may be
     *     called by any thread, at most once
     */
    void receive(Frame frame, Consumer<Frame.Builder> reply);
}
