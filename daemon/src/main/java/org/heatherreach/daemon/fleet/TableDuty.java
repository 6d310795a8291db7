package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.table.GossipTableDistribution;
import org.heatherreach.coordination.table.StoreStatus;
import org.heatherreach.coordination.table.TableAction;
import org.heatherreach.protocol.peer.TableCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.table.TableCsv;
import org.heatherreach.transport.duty.DutyThread;
import org.heatherreach.transport.http.ServingGate;
import org.heatherreach.transport.peer.PeerLinks;
import org.jboss.logging.Logger;

/**
 * The duty that distributes the table: it reads the store if this daemon is a reader, exchanges versions with peers,
 * and notifies the other duties of the table in force.
 *
 * <p>Invariants: listeners receive ascending versions; content that can't be parsed never comes into force.
 *
 * <p>Thread safety: every method is safe for use by any thread.
 */
public final class TableDuty implements MemberListener, BeaconListener, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TableDuty.class);
    private static final int RING_CAPACITY = 4096;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Advertised until a reader has confirmed the store; exceeds every age at which the store counts as current. */
    private static final long UNCONFIRMED_AGE_NANOS = TimeUnit.DAYS.toNanos(1);

    private final GossipTableDistribution distribution;
    private final OwnerMap owners;
    private final PeerLinks links;
    private final TableReader reader;
    private final ServingGate gate;
    private final BeaconSink beaconSink;
    private final List<TableListener> listeners = new CopyOnWriteArrayList<>();
    private final Counter adoptedTables;
    private final Counter invalidTables;
    private final DutyThread<Event> duty;
    private volatile StoreStatus storeStatus = StoreStatus.UNKNOWN;

    /** Receives the table version and the store state that packets to peers advertise. */
    @FunctionalInterface
    public interface BeaconSink {
        /** Sets the values that later packets advertise. */
        void advertise(long tableVersion, long storeConfirmedNanos, boolean storeUnavailable);
    }

    /** An operation on the table distribution that waits in the ring. */
    private interface Event {
        List<TableAction> apply(long nowNanos);
    }

    /** Creates the duty; {@link #start} starts it. */
    public TableDuty(
            GossipTableDistribution spread,
            OwnerMap owners,
            PeerLinks links,
            TableReader reader,
            ServingGate gate,
            BeaconSink beaconSink,
            MeterRegistry registry) {
        this.distribution = Objects.requireNonNull(spread, "spread");
        this.owners = Objects.requireNonNull(owners, "owners");
        this.links = Objects.requireNonNull(links, "links");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.gate = Objects.requireNonNull(gate, "gate");
        this.beaconSink = Objects.requireNonNull(beaconSink, "beaconSink");
        this.adoptedTables = registry.counter("heatherreach.table.adopted");
        this.invalidTables = registry.counter("heatherreach.table.invalid");
        this.duty = new DutyThread<>("table", RING_CAPACITY, this::handle, this::tick, TICK_NANOS);
        registry.gauge("heatherreach.table.ring.refused", duty, DutyThread::refusedEvents);
        registry.gauge("heatherreach.table.version", distribution, GossipTableDistribution::version);
    }

    /** Adds a listener. Must be called before the duty is started. */
    public void addListener(TableListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /** Registers the handlers of table messages. */
    public void register(FrameRouter router) {
        router.addHandler(Frame.BodyCase.TABLE_PUSH, (frame, reply) -> {
            var push = TableCodec.decode(frame.getTablePush());
            duty.offer(nowNanos -> distribution.receivePush(new IncarnationId(frame.getSender()), push, nowNanos));
        });
        router.addHandler(Frame.BodyCase.TABLE_FETCH, (frame, reply) -> {
            var fetch = TableCodec.decode(frame.getTableFetch());
            duty.offer(nowNanos -> distribution.receiveFetch(new IncarnationId(frame.getSender()), fetch, nowNanos));
        });
        router.addHandler(Frame.BodyCase.TABLE_ANSWER, (frame, reply) -> {
            var answer = TableCodec.decode(frame.getTableAnswer());
            duty.offer(nowNanos -> distribution.receiveAnswer(new IncarnationId(frame.getSender()), answer, nowNanos));
        });
    }

    /** Starts the duty. */
    public void start() {
        duty.start();
    }

    @Override
    public void onMemberChanged(Member member, MemberView view) {
        duty.offer(nowNanos -> {
            owners.updateMember(member);
            List<Member> readers = owners.regions().stream()
                    .flatMap(region -> owners.readers(region).stream())
                    .toList();
            return distribution.changeMembers(view, readers, nowNanos);
        });
    }

    @Override
    public void receiveBeacon(Member from, TableBeacon beacon) {
        duty.offer(nowNanos -> distribution.receiveBeacon(from, beacon, nowNanos));
    }

    /** Returns the state of the configuration store as this daemon knows it. */
    public StoreStatus storeStatus() {
        return storeStatus;
    }

    /** Stops the duty and the watch on the store. */
    @Override
    public void close() {
        reader.close();
        duty.close();
    }

    private void handle(Event event) {
        long nowNanos = System.nanoTime();
        carryOut(event.apply(nowNanos), nowNanos);
    }

    private void tick(long nowNanos) {
        carryOut(distribution.tick(nowNanos), nowNanos);
        StoreStatus status = distribution.storeStatus(nowNanos);
        if (status != storeStatus) {
            LOG.infof("Store status changes from %s to %s", storeStatus, status);
            storeStatus = status;
        }
        distribution
                .storeConfirmedNanos()
                .ifPresentOrElse(
                        confirmedNanos -> beaconSink.advertise(
                                distribution.version(), confirmedNanos, distribution.isStoreUnavailable()),
                        () -> beaconSink.advertise(distribution.version(), nowNanos - UNCONFIRMED_AGE_NANOS, true));
    }

    private void carryOut(List<TableAction> actions, long nowNanos) {
        for (TableAction action : actions) {
            if (action instanceof TableAction.AdoptTable adopt) {
                adopt(adopt);
            } else if (action instanceof TableAction.SendPush send) {
                send(send.to(), Frame.newBuilder().setTablePush(TableCodec.encode(send.push())));
            } else if (action instanceof TableAction.SendFetch send) {
                send(send.to(), Frame.newBuilder().setTableFetch(TableCodec.encode(send.fetch())));
            } else if (action instanceof TableAction.SendAnswer send) {
                send(send.to(), Frame.newBuilder().setTableAnswer(TableCodec.encode(send.answer())));
            } else if (action instanceof TableAction.WatchStore) {
                LOG.info("This daemon reads the table from the store");
                reader.watch(distribution.version(), storeSink());
            } else if (action instanceof TableAction.EndWatch) {
                LOG.info("This daemon no longer reads the table from the store");
                reader.endWatch();
            } else if (action instanceof TableAction.ReadStore) {
                reader.readOnce(distribution.version(), storeSink());
            } else if (action instanceof TableAction.EnterIsolation isolation) {
                LOG.warnf("Isolated (%s): new work is refused", isolation.cause());
                gate.setIsolated(true);
            } else if (action instanceof TableAction.LeaveIsolation) {
                LOG.info("No longer isolated");
                gate.setIsolated(false);
            }
        }
    }

    private void adopt(TableAction.AdoptTable adopt) {
        TableCsv.read(adopt.content())
                .peek(table -> {
                    adoptedTables.increment();
                    LOG.infof("Table version %d is in force", adopt.version());
                    TableInForce inForce = new TableInForce(adopt.version(), table);
                    listeners.forEach(listener -> listener.onTableChanged(inForce));
                })
                .peekLeft(problems -> {
                    invalidTables.increment();
                    LOG.errorf("Table version %d is not usable: %s", adopt.version(), problems.get(0));
                });
    }

    private void send(Member to, Frame.Builder frame) {
        links.send(MemberDirectory.peerOf(to), frame);
    }

    private TableReader.Sink storeSink() {
        return new TableReader.Sink() {
            @Override
            public void onTable(long version, byte[] content) {
                duty.offer(nowNanos -> distribution.handleStoreContent(version, content, nowNanos));
            }

            @Override
            public void onUnchanged() {
                duty.offer(distribution::handleStoreUnchanged);
            }

            @Override
            public void onFailure() {
                duty.offer(distribution::handleStoreFailure);
            }
        };
    }
}
