package org.heatherreach.coordination.table;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/**
 * Simulates the membership and table distribution of many daemons over an in-memory network with a virtual clock, and a
 * store with one table head.
 */
final class FleetFake {
    static final long MILLIS = 1_000_000;

    private final boolean naive;
    private final Random random;
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
    private final Set<String> cutLinks = new HashSet<>();
    private final List<MemberAddress> addresses = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    long nowNanos = 1_000 * MILLIS;
    double loss;
    double duplication;
    int jitterMillis = 2;
    boolean storeUp = true;
    long storeVersion;
    byte[] storeContent = new byte[0];
    /** The previous version, which a store read that is delayed in the network may still return. */
    long staleVersion;

    private long nextOrder;

    FleetFake(boolean naive, long seed, int zones, int regions, int count) {
        this.naive = naive;
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            addresses.add(new MemberAddress("10.0." + i / 250 + "." + (i % 250 + 1), 7_000));
        }
        for (int i = 0; i < count; i++) {
            Node node = new Node(i, "z" + i % zones, "r" + i % zones % regions);
            nodes.add(node);
            node.start();
        }
    }

    void write(String content) {
        staleVersion = storeVersion;
        storeVersion += 1 + random.nextInt(3);
        storeContent = (storeVersion + "\n" + content).getBytes(StandardCharsets.UTF_8);
    }

    void cut(String fromZone, String toZone) {
        cutLinks.add(fromZone + ">" + toZone);
    }

    void toggleStore() {
        storeUp = !storeUp;
    }

    void heal() {
        cutLinks.clear();
    }

    void run(long millis) {
        long end = nowNanos + millis * MILLIS;
        while (nowNanos < end) {
            nowNanos += 10 * MILLIS;
            while (!queue.isEmpty() && queue.peek().atNanos() <= nowNanos) {
                Delivery delivery = queue.poll();
                Node target = nodes.get(delivery.to());
                if (target.paused) {
                    target.buffer.add(delivery);
                } else if (target.up) {
                    target.handle(delivery);
                }
            }
            for (Node node : nodes) {
                if (node.up && !node.paused && nowNanos >= node.nextTickNanos) {
                    node.nextTickNanos = nowNanos + 100 * MILLIS;
                    node.tick();
                }
            }
        }
    }

    boolean converged(long version) {
        return nodes.stream().filter(node -> node.up).allMatch(node -> node.table.version() == version);
    }

    boolean allViewsComplete() {
        long up = nodes.stream().filter(node -> node.up).count();
        return nodes.stream()
                .filter(node -> node.up)
                .allMatch(node -> node.members.view().live().size() == up);
    }

    private void send(Node from, MemberAddress to, Object message) {
        int target = addresses.indexOf(to);
        Node receiver = nodes.get(target);
        boolean datagram = message instanceof MemberPacket;
        // A message over a connection needs both directions; a datagram needs only one.
        if (cutLinks.contains(from.zone + ">" + receiver.zone)
                || !datagram && cutLinks.contains(receiver.zone + ">" + from.zone)) {
            return;
        }
        int copies = !datagram ? 1 : random.nextDouble() < loss ? 0 : random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long at = nowNanos + MILLIS + random.nextInt(1 + jitterMillis) * MILLIS;
            queue.add(new Delivery(at, nextOrder++, target, from.members.self().incarnation(), message));
        }
    }

    record Delivery(long atNanos, long order, int to, IncarnationId sender, Object message) {}

    /** One daemon; a restart gives it a new incarnation at the same address. */
    final class Node {
        final int index;
        final String zone;
        private final String region;
        private final List<Delivery> buffer = new ArrayList<>();
        Membership members;
        TableDistribution table;
        OwnerMap owners;
        boolean up;
        boolean paused;
        boolean watching;
        private long nextTickNanos;
        private long highestVersion;

        Node(int index, String zone, String region) {
            this.index = index;
            this.zone = zone;
            this.region = region;
        }

        void start() {
            long incarnation = random.nextLong() | 1;
            Member self = new Member(
                    new DaemonId("daemon-" + index),
                    new IncarnationId(incarnation),
                    0,
                    MemberState.ALIVE,
                    new ZoneId(zone),
                    new RegionId(region),
                    addresses.get(index),
                    8_000,
                    0);
            Random nodeRandom = new Random(incarnation);
            members = naive
                    ? new NaiveMemberList(
                            MemberSettings.standard(), self, addresses.subList(0, 3), nodeRandom, nowNanos)
                    : new MemberList(MemberSettings.standard(), self, addresses.subList(0, 3), nodeRandom, nowNanos);
            members.updateVmList(addresses);
            table = naive
                    ? new NaiveTableDistribution(self, nowNanos)
                    : new GossipTableDistribution(self, nodeRandom, nowNanos);
            owners = new OwnerMap();
            owners.updateMember(self);
            highestVersion = 0;
            nextTickNanos = nowNanos + random.nextInt(100) * MILLIS;
            up = true;
            paused = false;
            watching = false;
            buffer.clear();
        }

        void kill() {
            up = false;
            buffer.clear();
        }

        void pause() {
            paused = up;
        }

        void resume() {
            paused = false;
            // Messages that arrived during the pause are handled before the first tick, like those of a socket buffer.
            List<Delivery> waiting = List.copyOf(buffer);
            buffer.clear();
            waiting.forEach(this::handle);
        }

        void leave() {
            performMemberActions(members.announceLeaving(nowNanos));
            owners.updateMember(members.self());
            changeMembers();
        }

        boolean listsAsLive(Node other) {
            IncarnationId incarnation = other.members.self().incarnation();
            return members.view().live().stream()
                    .anyMatch(member -> member.incarnation().equals(incarnation));
        }

        void tick() {
            performMemberActions(members.tick(nowNanos));
            performTableActions(table.tick(nowNanos));
            if (table instanceof GossipTableDistribution distribution) {
                members.advertise(
                        distribution.version(),
                        distribution.storeConfirmedNanos().orElse(0L),
                        distribution.isStoreUnavailable());
                if (watching && storeUp && !isCutFromStore() && storeVersion > distribution.version()) {
                    performTableActions(table.handleStoreContent(storeVersion, storeContent, nowNanos));
                }
            }
        }

        void handle(Delivery delivery) {
            IncarnationId from = delivery.sender();
            if (delivery.message() instanceof MemberPacket packet) {
                if (packet.encodedSizeBytes() > MemberPacket.SIZE_LIMIT_BYTES) {
                    violations.add("packet of " + packet.encodedSizeBytes() + " bytes");
                }
                performMemberActions(members.receive(packet, nowNanos));
            } else if (delivery.message() instanceof TablePush push) {
                performTableActions(table.receivePush(from, push, nowNanos));
            } else if (delivery.message() instanceof TableFetch fetch) {
                performTableActions(table.receiveFetch(from, fetch, nowNanos));
            } else if (delivery.message() instanceof TableAnswer answer) {
                performTableActions(table.receiveAnswer(from, answer, nowNanos));
            }
        }

        private void performMemberActions(List<MemberAction> actions) {
            boolean changed = false;
            for (MemberAction action : actions) {
                if (action instanceof MemberAction.SendPacket send) {
                    send(this, send.to(), send.packet());
                } else if (action instanceof MemberAction.ChangeMember change) {
                    owners.updateMember(change.member());
                    changed = true;
                } else if (action instanceof MemberAction.ReportBeacon report) {
                    performTableActions(table.receiveBeacon(report.from(), report.beacon(), nowNanos));
                }
            }
            if (changed) {
                changeMembers();
            }
        }

        private void changeMembers() {
            List<Member> readers = new ArrayList<>();
            owners.regions().forEach(regionId -> readers.addAll(owners.readers(regionId)));
            performTableActions(table.changeMembers(members.view(), readers, nowNanos));
        }

        private void performTableActions(List<TableAction> actions) {
            for (TableAction action : actions) {
                if (action instanceof TableAction.SendPush send) {
                    send(this, send.to().address(), send.push());
                } else if (action instanceof TableAction.SendFetch send) {
                    send(this, send.to().address(), send.fetch());
                } else if (action instanceof TableAction.SendAnswer send) {
                    send(this, send.to().address(), send.answer());
                } else if (action instanceof TableAction.AdoptTable adopt) {
                    checkAdoption(adopt);
                } else if (action instanceof TableAction.WatchStore) {
                    watching = true;
                } else if (action instanceof TableAction.EndWatch) {
                    watching = false;
                } else if (action instanceof TableAction.ReadStore) {
                    readStore();
                }
            }
        }

        private void readStore() {
            if (!storeUp || isCutFromStore()) {
                performTableActions(table.handleStoreFailure(nowNanos));
            } else if (staleVersion > 0 && random.nextInt(10) == 0) {
                performTableActions(table.handleStoreContent(
                        staleVersion, (staleVersion + "\n").getBytes(StandardCharsets.UTF_8), nowNanos));
            } else if (storeVersion > 0 && storeVersion != table.version()) {
                performTableActions(table.handleStoreContent(storeVersion, storeContent, nowNanos));
            } else {
                performTableActions(table.handleStoreUnchanged(nowNanos));
            }
        }

        private boolean isCutFromStore() {
            return cutLinks.contains("store>" + zone) || cutLinks.contains(zone + ">store");
        }

        private void checkAdoption(TableAction.AdoptTable adopt) {
            if (adopt.version() <= highestVersion) {
                violations.add("daemon " + index + " went from " + highestVersion + " to " + adopt.version());
            }
            highestVersion = Math.max(highestVersion, adopt.version());
            String text = new String(adopt.content(), StandardCharsets.UTF_8);
            if (!text.startsWith(adopt.version() + "\n")) {
                violations.add("content of another version under " + adopt.version());
            }
        }
    }

    static long seconds(long seconds) {
        return TimeUnit.SECONDS.toMillis(seconds);
    }
}
