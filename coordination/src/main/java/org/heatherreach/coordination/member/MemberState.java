package org.heatherreach.coordination.member;

/**
 * The state of a member. The order of the constants is their precedence: of two updates with the same counter the one
 * with the later constant wins. Immutable and safe for use by any thread.
 */
public enum MemberState {
    /** The member answers pings. */
    ALIVE(true, true),
    /** The member acknowledged neither a ping nor the indirect pings; it may refute the suspicion. */
    SUSPECT(true, true),
    /** The member announced that it is shutting down; it accepts no new work but still answers. */
    LEAVING(true, false),
    /** The member did not refute a suspicion in time. An update with a larger counter still refutes its death. */
    DEAD(false, false),
    /** The member announced that its process ends. This state is final. */
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

    /** Returns whether the member accepts new work, owns service parts and is listed in address answers. */
    public boolean isLive() {
        return live;
    }
}
