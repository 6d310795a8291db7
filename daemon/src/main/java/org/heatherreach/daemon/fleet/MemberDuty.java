package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAction;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.Membership;
import org.heatherreach.protocol.peer.MemberCodec;
import org.heatherreach.protocol.peer.MessageException;
import org.heatherreach.protocol.peer.wire.MemberPacket;
import org.heatherreach.transport.duty.DutyThread;
import org.heatherreach.transport.peer.PacketHandler;
import org.heatherreach.transport.peer.PacketSocket;
import org.jboss.logging.Logger;

/**
 * The duty that owns the member list: it exchanges packets with peers and publishes changes to the other duties.
 *
 * <p>Invariant: the member list is used by the duty thread only; a packet that arrives while the ring is full is
 * counted and dropped, which the protocol handles like a lost datagram.
 *
 * <p>Thread safety: every method is safe for use by any thread.
 */
public final class MemberDuty implements PacketHandler<MemberPacket>, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(MemberDuty.class);
    private static final int RING_CAPACITY = 4096;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Membership members;
    private final MemberDirectory directory;
    private final PacketSocket<MemberPacket> socket;
    private final List<BeaconListener> beaconListeners = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> activityListeners = new CopyOnWriteArrayList<>();
    private final Counter malformedPackets;
    private final DutyThread<Event> duty;

    /** An operation on the member list that waits in the ring. */
    private interface Event {
        List<MemberAction> apply(long nowNanos);
    }

    /** Creates the duty; {@link #start} starts it. */
    public MemberDuty(
            Membership members, MemberDirectory directory, PacketSocket<MemberPacket> socket, MeterRegistry registry) {
        this.members = Objects.requireNonNull(members, "members");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.malformedPackets = registry.counter("heatherreach.member.packets.malformed");
        this.duty = new DutyThread<>("member", RING_CAPACITY, this::handle, this::tick, TICK_NANOS);
        registry.gauge("heatherreach.member.ring.refused", duty, DutyThread::refusedEvents);
        registry.gauge(
                "heatherreach.member.live",
                directory,
                known -> known.view().live().size());
    }

    /** Adds a listener for the table versions and store states that peers advertise. */
    public void addBeaconListener(BeaconListener listener) {
        beaconListeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** Adds a listener for the send times of answered pings. */
    public void addActivityListener(LongConsumer listener) {
        activityListeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** Starts the duty. The packet socket must be bound before. */
    public void start() {
        duty.start();
    }

    @Override
    public void receive(MemberPacket packet, InetSocketAddress from) {
        try {
            var decoded = MemberCodec.decode(packet);
            duty.offer(nowNanos -> members.receive(decoded, nowNanos));
        } catch (MessageException e) {
            malformedPackets.increment();
        }
    }

    /** Replaces the addresses of the daemon VMs that the VM list reports as live. */
    public void updateDaemonAddresses(Collection<MemberAddress> addresses) {
        duty.offer(nowNanos -> {
            members.updateVmList(addresses);
            return List.of();
        });
    }

    /** Sets the table version and the store state that later packets advertise. */
    public void advertise(long tableVersion, long storeConfirmedNanos, boolean storeUnavailable) {
        duty.offer(nowNanos -> {
            members.advertise(tableVersion, storeConfirmedNanos, storeUnavailable);
            return List.of();
        });
    }

    /** Announces that this daemon takes no new work; the result completes when the announcement is sent. */
    public CompletableFuture<Void> announceLeaving() {
        return announce(members::announceLeaving);
    }

    /** Announces the end of this daemon; the result completes when the announcement is sent. */
    public CompletableFuture<Void> announceLeft() {
        return announce(members::announceLeft);
    }

    /** Stops the duty. */
    @Override
    public void close() {
        duty.close();
    }

    private CompletableFuture<Void> announce(Event announcement) {
        CompletableFuture<Void> sent = new CompletableFuture<>();
        boolean accepted = duty.offer(nowNanos -> {
            carryOut(announcement.apply(nowNanos));
            sent.complete(null);
            return List.of();
        });
        if (!accepted) {
            sent.completeExceptionally(new IllegalStateException("the ring of the member duty is full"));
        }
        return sent;
    }

    private void handle(Event event) {
        carryOut(event.apply(System.nanoTime()));
    }

    private void tick(long nowNanos) {
        carryOut(members.tick(nowNanos));
    }

    private void carryOut(List<MemberAction> actions) {
        for (MemberAction action : actions) {
            if (action instanceof MemberAction.SendPacket send) {
                socket.send(
                        MemberCodec.encode(send.packet()),
                        new InetSocketAddress(send.to().host(), send.to().port()));
            } else if (action instanceof MemberAction.ChangeMember change) {
                publish(change.member(), change.previous());
            } else if (action instanceof MemberAction.ReportBeacon report) {
                beaconListeners.forEach(listener -> listener.receiveBeacon(report.from(), report.beacon()));
            } else if (action instanceof MemberAction.ExtendActivity extension) {
                activityListeners.forEach(listener -> listener.accept(extension.sentNanos()));
            }
        }
    }

    private void publish(Member member, MemberState previous) {
        LOG.infof(
                "Member %s incarnation %s changes from %s to %s",
                member.daemon(), member.incarnation(), previous == null ? "unknown" : previous, member.state());
        directory.publish(member, members.view());
    }
}
