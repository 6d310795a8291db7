package org.heatherreach.coordination.member;

/**
 * What is known about a member. The order of the constants is their precedence: of two updates with the same
 * counter the later constant wins. Immutable and safe for use by any thread.
 */
public enum MemberState {
    /** The member answers pings. */
    ALIVE(true, true),
    /** The member missed a ping and the indirect pings; it may refute this. */
    SUSPECT(true, true),
    /** The member announced that it is shutting down; it takes no new work but still answers. */
    LEAVING(true, false),
    /** The suspicion was not refuted in time. A larger counter still refutes it. */
    DEAD(false, false),
    /** The member announced its end. Nothing refutes this. */
    LEFT(false, false);

    private final boolean reachable;
    private final boolean live;

    MemberState(boolean reachable, boolean live) {
        this.reachable = reachable;
        this.live = live;
    }

    /** Returns whether the member is pinged and receives messages. */
    public boolean isReachable() {
        return reachable;
    }

    /** Returns whether the member takes new work, owns parts and appears in address answers. */
    public boolean isLive() {
        return live;
    }
}
