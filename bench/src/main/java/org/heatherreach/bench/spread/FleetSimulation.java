package org.heatherreach.bench.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAction;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberList;
import org.heatherreach.coordination.member.MemberPacket;
import org.heatherreach.coordination.member.MemberSettings;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.Membership;
import org.heatherreach.coordination.member.NaiveMemberList;
import org.heatherreach.coordination.owner.OwnerMap;
import org.heatherreach.coordination.table.GossipTableDistribution;
import org.heatherreach.coordination.table.NaiveTableDistribution;
import org.heatherreach.coordination.table.TableAction;
import org.heatherreach.coordination.table.TableAnswer;
import org.heatherreach.coordination.table.TableDistribution;
import org.heatherreach.coordination.table.TableFetch;
import org.heatherreach.coordination.table.TablePush;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/**
 * Members and tables of a fleet on a virtual clock with steps of 1 ms. A datagram takes 1 ms within a region and 20 ms
 * between regions; a frame takes three times as long, as for a new connection. Confined to one thread.
 */
final class FleetSimulation {
    private static final long MILLIS = 1_000_000;
    private static final int TICK_MILLIS = 100;
    private static final int RING_MILLIS = 128;

    private final boolean naive;
    private final Random random;
    private final int zones;
    private final int regions;
    private final List<MemberAddress> addresses = new ArrayList<>();
    private final Map<MemberAddress, Integer> indexes = new HashMap<>();
    private final List<List<Delivery>> ring = new ArrayList<>();
    private final Set<Integer> cuts = new HashSet<>();
    private final double loss;
    final List<Node> nodes = new ArrayList<>();
    private long nowMillis = 1_000_000;
    private int isolatedZone = -1;
    private long storeVersion;
    private byte[] storeContent = new byte[0];
    private Traffic traffic;

    FleetSimulation(boolean naive, long seed, int daemons, int zones, int regions, double loss) {
        this.naive = naive;
        this.random = new Random(seed);
        this.zones = zones;
        this.regions = regions;
        this.loss = loss;
        for (int i = 0; i < RING_MILLIS; i++) {
            ring.add(new ArrayList<>());
        }
        for (int i = 0; i < daemons; i++) {
            MemberAddress address = new MemberAddress("10.10." + i / 200 + "." + (i % 200 + 20), 7_301);
            addresses.add(address);
            indexes.put(address, i);
        }
        traffic = new Traffic(daemons);
        for (int i = 0; i < daemons; i++) {
            Node node = new Node(i);
            nodes.add(node);
            node.start();
        }
    }

    Traffic resetTraffic() {
        traffic = new Traffic(nodes.size());
        return traffic;
    }

    long nowMillis() {
        return nowMillis;
    }

    long storeVersion() {
        return storeVersion;
    }

    /** Writes a table of the given number of rows, of which one differs from the table before. */
    void write(int rows) {
        storeVersion += 2;
        StringBuilder text = new StringBuilder(rows * 44);
        for (int i = 0; i < rows; i++) {
            boolean changed = i == storeVersion % rows;
            text.append("route:/catalogue/section-").append(i).append(",,,,").append(changed ? storeVersion : 1_500);
            text.append(",,,,\n");
        }
        storeContent = text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Drops what one zone sends to another. */
    void cut(int fromZone, int toZone) {
        cuts.add(fromZone * zones + toZone);
    }

    /** Cuts a zone off from the store and in both directions from all other zones. */
    void isolate(int zone) {
        isolatedZone = zone;
        for (int other = 0; other < zones; other++) {
            if (other != zone) {
                cut(zone, other);
                cut(other, zone);
            }
        }
    }

    void heal() {
        cuts.clear();
        isolatedZone = -1;
    }

    private boolean isIsolated(int zone) {
        return zone == isolatedZone;
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            step();
        }
    }

    /** Runs until the condition holds; returns the milliseconds that it took, or a negative number after the limit. */
    long runUntil(BooleanSupplier condition, long stepMillis, long limitMillis) {
        long start = nowMillis;
        while (!condition.getAsBoolean()) {
            if (nowMillis - start >= limitMillis) {
                return -1;
            }
            run(stepMillis);
        }
        return nowMillis - start;
    }

    long runUntil(BooleanSupplier condition, long limitMillis) {
        return runUntil(condition, 10, limitMillis);
    }

    /** Runs until every daemon lists every other one. */
    long runUntilComplete(long limitMillis) {
        return runUntil(this::everyoneSeesEveryone, 500, limitMillis);
    }

    boolean everyoneSeesEveryone() {
        long up = nodes.stream().filter(node -> node.up).count();
        for (Node node : nodes) {
            if (node.up && node.members.view().live().size() != up) {
                return false;
            }
        }
        return true;
    }

    private void step() {
        nowMillis++;
        List<Delivery> due = ring.set((int) (nowMillis % RING_MILLIS), new ArrayList<>());
        for (Delivery delivery : due) {
            Node node = nodes.get(delivery.to);
            if (node.up) {
                node.handle(delivery);
            }
        }
        for (int i = (int) (nowMillis % TICK_MILLIS); i < nodes.size(); i += TICK_MILLIS) {
            if (nodes.get(i).up) {
                nodes.get(i).tick();
            }
        }
    }

    private void send(Node from, MemberAddress to, Object message, boolean datagram) {
        int target = indexes.get(to);
        Node receiver = nodes.get(target);
        boolean open = !cuts.contains(from.zone * zones + receiver.zone);
        // A connection needs both directions.
        boolean back = !cuts.contains(receiver.zone * zones + from.zone);
        if (!open || !datagram && (!back || !receiver.up) || datagram && random.nextDouble() < loss) {
            return;
        }
        int latency = from.region() == receiver.region() ? 1 : 20;
        ring.get((int) ((nowMillis + (datagram ? latency : 3 * latency)) % RING_MILLIS))
                .add(new Delivery(target, from.members.self().incarnation(), message));
    }

    private record Delivery(int to, IncarnationId sender, Object message) {}

    /** One daemon. */
    final class Node {
        final int index;
        final int zone;
        Membership members;
        TableDistribution table;
        boolean up;
        boolean isolated;
        private OwnerMap owners;
        private boolean watching;
        private boolean membersChanged;

        Node(int index) {
            this.index = index;
            this.zone = index % zones;
        }

        int region() {
            return zone % regions;
        }

        void start() {
            long incarnation = random.nextLong() | 1;
            Member self = new Member(
                    new DaemonId("daemon-" + index),
                    new IncarnationId(incarnation),
                    0,
                    MemberState.ALIVE,
                    new ZoneId("region-" + region() + "-zone-" + zone),
                    new RegionId("region-" + region()),
                    addresses.get(index),
                    7_300,
                    0);
            Random own = new Random(incarnation);
            MemberSettings settings = MemberSettings.standard();
            List<MemberAddress> seeds = addresses.subList(0, Math.min(3, addresses.size()));
            long nowNanos = nowMillis * MILLIS;
            members = naive
                    ? new NaiveMemberList(settings, self, seeds, own, nowNanos)
                    : new MemberList(settings, self, seeds, own, nowNanos);
            members.updateVmList(addresses);
            table = naive
                    ? new NaiveTableDistribution(self, nowNanos)
                    : new GossipTableDistribution(self, own, nowNanos);
            owners = new OwnerMap();
            owners.updateMember(self);
            watching = false;
            isolated = false;
            up = true;
        }

        void leave() {
            perform(members.announceLeaving(nowMillis * MILLIS));
        }

        void stop() {
            perform(members.announceLeft(nowMillis * MILLIS));
            up = false;
        }

        private void tick() {
            long start = System.nanoTime();
            List<MemberAction> memberActions = members.tick(nowMillis * MILLIS);
            List<TableAction> tableActions = table.tick(nowMillis * MILLIS);
            traffic.tickNanos += System.nanoTime() - start;
            traffic.ticks++;
            perform(memberActions);
            apply(tableActions);
            if (membersChanged) {
                changeMembers();
            }
            if (table instanceof GossipTableDistribution spread) {
                members.advertise(
                        spread.version(), spread.storeConfirmedNanos().orElse(0L), spread.isStoreUnavailable());
                if (watching && !isIsolated(zone) && storeVersion > spread.version()) {
                    // The watch that fired, its successor and the read of a chunk.
                    traffic.storeCalls += 2;
                    apply(table.handleStoreContent(storeVersion, storeContent, nowMillis * MILLIS));
                }
            }
        }

        private void handle(Delivery delivery) {
            long nowNanos = nowMillis * MILLIS;
            if (delivery.message instanceof MemberPacket packet) {
                long start = System.nanoTime();
                List<MemberAction> actions = members.receive(packet, nowNanos);
                traffic.packetNanos += System.nanoTime() - start;
                traffic.packetsHandled++;
                perform(actions);
            } else if (delivery.message instanceof TablePush push) {
                apply(table.receivePush(delivery.sender, push, nowNanos));
            } else if (delivery.message instanceof TableFetch fetch) {
                apply(table.receiveFetch(delivery.sender, fetch, nowNanos));
            } else if (delivery.message instanceof TableAnswer answer) {
                apply(table.receiveAnswer(delivery.sender, answer, nowNanos));
            }
        }

        private void perform(List<MemberAction> actions) {
            boolean changed = false;
            for (MemberAction action : actions) {
                if (action instanceof MemberAction.SendPacket send) {
                    traffic.addDatagram(index, send.packet().encodedSizeBytes());
                    send(this, send.to(), send.packet(), true);
                } else if (action instanceof MemberAction.ChangeMember change) {
                    owners.updateMember(change.member());
                    changed = true;
                } else if (action instanceof MemberAction.ReportBeacon report) {
                    apply(table.receiveBeacon(report.from(), report.beacon(), nowMillis * MILLIS));
                }
            }
            membersChanged |= changed;
        }

        /** Rebuilds what depends on the member list once per tick, because a rebuild costs time per member. */
        private void changeMembers() {
            membersChanged = false;
            List<Member> readers = new ArrayList<>();
            if (!naive) {
                owners.regions().forEach(region -> readers.addAll(owners.readers(region)));
            }
            apply(table.changeMembers(members.view(), readers, nowMillis * MILLIS));
        }

        private void apply(List<TableAction> actions) {
            for (TableAction action : actions) {
                if (action instanceof TableAction.SendPush send) {
                    frame(send.to(), send.push(), 8 + send.push().payload().length);
                } else if (action instanceof TableAction.SendFetch send) {
                    frame(send.to(), send.fetch(), 8);
                } else if (action instanceof TableAction.SendAnswer send) {
                    frame(send.to(), send.answer(), 8 + send.answer().payload().length);
                } else if (action instanceof TableAction.WatchStore) {
                    watching = true;
                    traffic.storeCalls++;
                } else if (action instanceof TableAction.EndWatch) {
                    watching = false;
                } else if (action instanceof TableAction.EnterIsolation) {
                    isolated = true;
                } else if (action instanceof TableAction.LeaveIsolation) {
                    isolated = false;
                } else if (action instanceof TableAction.ReadStore) {
                    traffic.storeCalls++;
                    if (isIsolated(zone)) {
                        apply(table.handleStoreFailure(nowMillis * MILLIS));
                    } else if (storeVersion > 0 && storeVersion != table.version()) {
                        traffic.storeCalls++;
                        apply(table.handleStoreContent(storeVersion, storeContent, nowMillis * MILLIS));
                    } else {
                        apply(table.handleStoreUnchanged(nowMillis * MILLIS));
                    }
                }
            }
        }

        private void frame(Member to, Object message, int bytes) {
            traffic.addFrame(index, bytes);
            send(this, to.address(), message, false);
        }
    }

    static long seconds(long seconds) {
        return TimeUnit.SECONDS.toMillis(seconds);
    }
}
