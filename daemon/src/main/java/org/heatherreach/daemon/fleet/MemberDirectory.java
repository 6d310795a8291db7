package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.transport.peer.PeerAddress;

/**
 * The current view of the members, shared by all duties. The member duty is the only writer.
 *
 * <p>Thread safety: reads and {@link #addListener} are safe for use by any thread; {@link #publish} is called by
 * the member duty only.
 */
public final class MemberDirectory {
    private final Member self;
    private final List<MemberListener> listeners = new CopyOnWriteArrayList<>();
    private volatile MemberView view;

    /** Creates a directory that contains only this daemon. */
    public MemberDirectory(Member self) {
        this.self = Objects.requireNonNull(self, "self");
        this.view = new MemberView(List.of(self));
    }

    /** Returns the entry of this daemon as created at its start. */
    public Member self() {
        return self;
    }

    /** Returns the reachable members. */
    public MemberView view() {
        return view;
    }

    /** Returns the address to send frames to a member; empty if it is not reachable. */
    public Optional<PeerAddress> peer(IncarnationId incarnation) {
        return view.find(incarnation).map(MemberDirectory::peerOf);
    }

    /** Returns the address to send frames to a member. */
    public static PeerAddress peerOf(Member member) {
        return new PeerAddress(
                member.incarnation(), member.address().host(), member.address().port());
    }

    /** Adds a listener for later changes. */
    public void addListener(MemberListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    void publish(Member member, MemberView newView) {
        view = newView;
        listeners.forEach(listener -> listener.onMemberChanged(member, newView));
    }
}
