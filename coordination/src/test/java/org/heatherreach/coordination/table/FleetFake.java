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

/** Many daemons' members and tables over an in-memory link with a virtual clock, and a store with one head. */
final class FleetFake {
    static final long MILLIS = 1_000_000;

    private final boolean naive;
    private final Random random;
    private final PriorityQueue<Delivery> queue =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
    private final Set<String> cuts = new HashSet<>();
    private final List<MemberAddress> addresses = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    long nowNanos = 1_000 * MILLIS;
    double loss;
    double duplicates;
    int jitterMillis = 2;
    boolean storeUp = true;
    long storeVersion;
    byte[] storeContent = new byte[0];
    /** What a read that is delayed in the network still returns. */
    long staleVersion;

    private long order;

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
        cuts.add(fromZone + ">" + toZone);
    }

    void toggleStore() {
        storeUp = !storeUp;
    }

    void heal() {
        cuts.clear();
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

    boolean converged(long wanted) {
        return nodes.stream().filter(node -> node.up).allMatch(node -> node.table.version() == wanted);
    }

    boolean allSeeAll() {
        long up = nodes.stream().filter(node -> node.up).count();
        return nodes.stream()
                .filter(node -> node.up)
                .allMatch(node -> node.members.view().live().size() == up);
    }

    private void send(Node from, MemberAddress to, Object message) {
        int target = addresses.indexOf(to);
        Node receiver = nodes.get(target);
        boolean datagram = message instanceof MemberPacket;
        // A connection needs both directions; a datagram needs one.
        if (cuts.contains(from.zone + ">" + receiver.zone)
                || !datagram && cuts.contains(receiver.zone + ">" + from.zone)) {
            return;
        }
        int copies = !datagram ? 1 : random.nextDouble() < loss ? 0 : random.nextDouble() < duplicates ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long at = nowNanos + MILLIS + random.nextInt(1 + jitterMillis) * MILLIS;
            queue.add(new Delivery(at, order++, target, from.members.self().incarnation(), message));
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
            Random own = new Random(incarnation);
            members = naive
                    ? new NaiveMemberList(MemberSettings.standard(), self, addresses.subList(0, 3), own, nowNanos)
                    : new MemberList(MemberSettings.standard(), self, addresses.subList(0, 3), own, nowNanos);
            members.listed(addresses);
            table = naive ? new NaiveTableSpread(self, nowNanos) : new TableSpread(self, own, nowNanos);
            owners = new OwnerMap();
            owners.change(self);
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
            // Datagrams that waited in the socket buffer are handled before the first tick.
            List<Delivery> waiting = List.copyOf(buffer);
            buffer.clear();
            waiting.forEach(this::handle);
        }

        void leave() {
            perform(members.announceLeaving(nowNanos));
            owners.change(members.self());
            changeMembers();
        }

        boolean lists(Node other) {
            IncarnationId incarnation = other.members.self().incarnation();
            return members.view().live().stream()
                    .anyMatch(member -> member.incarnation().equals(incarnation));
        }

        void tick() {
            perform(members.tick(nowNanos));
            apply(table.tick(nowNanos));
            if (table instanceof TableSpread spread) {
                members.advertise(spread.version(), spread.storeConfirmedNanos().orElse(0L), spread.isStoreAway());
                if (watching && storeUp && !isCutFromStore() && storeVersion > spread.version()) {
                    apply(table.readStore(storeVersion, storeContent, nowNanos));
                }
            }
        }

        void handle(Delivery delivery) {
            IncarnationId from = delivery.sender();
            if (delivery.message() instanceof MemberPacket packet) {
                if (packet.encodedSizeBytes() > MemberPacket.SIZE_LIMIT_BYTES) {
                    violations.add("packet of " + packet.encodedSizeBytes() + " bytes");
                }
                perform(members.receive(packet, nowNanos));
            } else if (delivery.message() instanceof TablePush push) {
                apply(table.receivePush(from, push, nowNanos));
            } else if (delivery.message() instanceof TableFetch fetch) {
                apply(table.receiveFetch(from, fetch, nowNanos));
            } else if (delivery.message() instanceof TableAnswer answer) {
                apply(table.receiveAnswer(from, answer, nowNanos));
            }
        }

        private void perform(List<MemberAction> actions) {
            boolean changed = false;
            for (MemberAction action : actions) {
                if (action instanceof MemberAction.SendPacket send) {
                    send(this, send.to(), send.packet());
                } else if (action instanceof MemberAction.ChangeMember change) {
                    owners.change(change.member());
                    changed = true;
                } else if (action instanceof MemberAction.ReportBeacon report) {
                    apply(table.hear(report.from(), report.beacon(), nowNanos));
                }
            }
            if (changed) {
                changeMembers();
            }
        }

        private void changeMembers() {
            List<Member> readers = new ArrayList<>();
            owners.regions().forEach(each -> readers.addAll(owners.readers(each)));
            apply(table.changeMembers(members.view(), readers, nowNanos));
        }

        private void apply(List<TableAction> actions) {
            for (TableAction action : actions) {
                if (action instanceof TableAction.SendPush send) {
                    send(this, send.to().address(), send.push());
                } else if (action instanceof TableAction.SendFetch send) {
                    send(this, send.to().address(), send.fetch());
                } else if (action instanceof TableAction.SendAnswer send) {
                    send(this, send.to().address(), send.answer());
                } else if (action instanceof TableAction.AdoptTable adopt) {
                    adopted(adopt);
                } else if (action instanceof TableAction.WatchStore) {
                    watching = true;
                } else if (action instanceof TableAction.EndWatch) {
                    watching = false;
                } else if (action instanceof TableAction.ReadStore) {
                    read();
                }
            }
        }

        private void read() {
            if (!storeUp || isCutFromStore()) {
                apply(table.loseStore(nowNanos));
            } else if (staleVersion > 0 && random.nextInt(10) == 0) {
                apply(table.readStore(staleVersion, (staleVersion + "\n").getBytes(StandardCharsets.UTF_8), nowNanos));
            } else if (storeVersion > 0 && storeVersion != table.version()) {
                apply(table.readStore(storeVersion, storeContent, nowNanos));
            } else {
                apply(table.confirmStore(nowNanos));
            }
        }

        private boolean isCutFromStore() {
            return cuts.contains("store>" + zone) || cuts.contains(zone + ">store");
        }

        private void adopted(TableAction.AdoptTable adopt) {
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
