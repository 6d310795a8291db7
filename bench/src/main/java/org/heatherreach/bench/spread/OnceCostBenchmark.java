package org.heatherreach.bench.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.ExecutionLimits;
import org.heatherreach.coordination.atmostonce.ExecutionRecords;
import org.heatherreach.coordination.atmostonce.Intent;
import org.heatherreach.coordination.atmostonce.IntentAck;
import org.heatherreach.coordination.atmostonce.KeyAttempt;
import org.heatherreach.coordination.atmostonce.KeyExecutor;
import org.heatherreach.coordination.atmostonce.KeyIssuer;
import org.heatherreach.coordination.atmostonce.NaiveExecutionRecords;
import org.heatherreach.coordination.atmostonce.OutcomeCopy;
import org.heatherreach.coordination.atmostonce.RecordedAnswer;
import org.heatherreach.coordination.atmostonce.WitnessRecords;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ZoneId;

/** Measures what one keyed request costs the executor and its witnesses. Holds no state between runs. */
public final class OnceCostBenchmark implements Benchmark {
    private static final int WARM_UP = 60_000;
    private static final int REQUESTS = 40_000;
    private static final int BODY_BYTES = 1_024;
    private static final RequestId REQUEST = new RequestId("request");
    private static final ExecutionLimits LIMITS =
            new ExecutionLimits(600_000_000_000L, 1_000_000_000L, 3_000_000_000L, 200_000, 200_000, 1L << 30);

    @Override
    public String name() {
        return "oncecost";
    }

    @Override
    public String description() {
        return "Processor time, bytes and heap of a keyed request at its executor and witnesses";
    }

    @Override
    public void run(long seed, BenchReport report) {
        long[] naive = new long[3];
        long[] product = new long[3];
        time(seed, WARM_UP, true, naive);
        time(seed, WARM_UP, false, product);
        time(seed, REQUESTS, true, naive);
        time(seed, REQUESTS, false, product);
        report.add("processor time, executor", "1 KB answer", "naive", naive[0] / 1e3 / REQUESTS, "us");
        report.add("processor time, executor", "1 KB answer", "product", product[0] / 1e3 / REQUESTS, "us");
        report.add("processor time, both witnesses", "1 KB answer", "product", product[1] / 1e3 / REQUESTS, "us");
        report.add("processor time, key text and parse", "1 key", "product", product[2] / 1e3 / REQUESTS, "us");
        measureBytes(seed, 0, report);
        measureBytes(seed, BODY_BYTES, report);
        measureHeap(seed, report);
    }

    /** Adds the nanoseconds of the executor, the witnesses and the key's text form. */
    private static void time(long seed, int requests, boolean naive, long[] nanos) {
        nanos[0] = 0;
        nanos[1] = 0;
        nanos[2] = 0;
        Fixture fixture = new Fixture(seed, naive);
        for (int i = 0; i < requests; i++) {
            long start = System.nanoTime();
            ExecutionKey key = fixture.issuer.issue(fixture.view, i).orElseThrow();
            ExecutionAction.Admit admit = (ExecutionAction.Admit)
                    fixture.executor.begin(key, i, REQUEST, i).get(0);
            List<ExecutionAction> intents = fixture.executor.onSlotGranted(admit.attempt(), i);
            long prepared = System.nanoTime();
            nanos[0] += prepared - start;
            IntentAck ack = null;
            if (!naive) {
                Intent intent = ((ExecutionAction.SendIntent) intents.get(0)).intent();
                ack = fixture.first.handleIntent(intent, i);
                fixture.second.handleIntent(intent, i);
            }
            long acknowledged = System.nanoTime();
            nanos[1] += acknowledged - prepared;
            if (ack != null) {
                fixture.executor.acknowledge(key.firstWitness(), ack, i);
            }
            List<ExecutionAction> copies = fixture.executor.complete(admit.attempt(), fixture.answer, i);
            long completed = System.nanoTime();
            nanos[0] += completed - acknowledged;
            if (!naive) {
                OutcomeCopy copy = ((ExecutionAction.SendOutcome) copies.get(0)).copy();
                fixture.first.record(copy, i);
                fixture.second.record(copy, i);
            }
            long recorded = System.nanoTime();
            nanos[1] += recorded - completed;
            if (ExecutionKey.parse(key.toText()).isLeft()) {
                throw new IllegalStateException("a key was not parsed");
            }
            nanos[2] += System.nanoTime() - recorded;
        }
    }

    private static void measureBytes(long seed, int bodyBytes, BenchReport report) {
        Fixture fixture = new Fixture(seed, false);
        ExecutionKey key = fixture.issuer.issue(fixture.view, 0).orElseThrow();
        String text = new KeyAttempt(key, 1).toText();
        String subject = bodyBytes + " B answer";
        Frame.Builder frame = Frame.newBuilder().setSender(-1).setReceiver(-1).setCorrelation(1_000_000);
        int intent = frame.clone()
                .setTimeoutMs(1_000)
                .setIntent(org.heatherreach.protocol.peer.wire.Intent.newBuilder()
                        .setKey(text)
                        .setFingerprint(-1))
                .build()
                .getSerializedSize();
        int ack = frame.clone()
                .setResponse(true)
                .setIntentAck(org.heatherreach.protocol.peer.wire.IntentAck.newBuilder()
                        .setKey(text)
                        .setAccepted(true))
                .build()
                .getSerializedSize();
        int copy = frame.clone()
                .setOutcomeCopy(org.heatherreach.protocol.peer.wire.OutcomeCopy.newBuilder()
                        .setKey(text)
                        .setFingerprint(-1)
                        .setAnswer(org.heatherreach.protocol.peer.wire.RecordedAnswer.newBuilder()
                                .setStatus(200)
                                .setContentType("application/json")
                                .setBody(ByteString.copyFrom(new byte[bodyBytes]))
                                .setComplete(true)))
                .build()
                .getSerializedSize();
        report.add("key text", "1 key", "product", key.toText().length(), "B");
        report.add("bytes of intents and acknowledgements", subject, "product", 2.0 * (intent + ack), "B");
        report.add("bytes of outcome copies", subject, "product", 2.0 * copy, "B");
        report.add("bytes between daemons", subject, "naive", 0, "B");
    }

    private static void measureHeap(long seed, BenchReport report) {
        RecordedAnswer empty = new RecordedAnswer(204, "", new byte[0], true);
        List<Fixture> kept = new ArrayList<>();
        long before = usedBytes();
        kept.add(filled(seed, empty));
        long after = usedBytes();
        report.add("heap, executor and two witness records", "no body", "product", per(after - before), "B");
        before = after;
        Fixture fixture = new Fixture(seed, false);
        for (int i = 0; i < REQUESTS; i++) {
            ExecutionKey key = fixture.issuer.issue(fixture.view, i).orElseThrow();
            fixture.first.handleIntent(new Intent(new KeyAttempt(key, 1), i), i);
        }
        kept.add(fixture);
        report.add("heap, one witness record", "no body", "product", per(usedBytes() - before), "B");
        if (kept.size() != 2) {
            throw new IllegalStateException("records were dropped during the measurement");
        }
    }

    private static Fixture filled(long seed, RecordedAnswer answer) {
        Fixture fixture = new Fixture(seed, false);
        for (int i = 0; i < REQUESTS; i++) {
            ExecutionKey key = fixture.issuer.issue(fixture.view, i).orElseThrow();
            ExecutionAction.Admit admit = (ExecutionAction.Admit)
                    fixture.executor.begin(key, i, REQUEST, i).get(0);
            Intent intent = ((ExecutionAction.SendIntent)
                            fixture.executor.onSlotGranted(admit.attempt(), i).get(0))
                    .intent();
            fixture.executor.acknowledge(key.firstWitness(), fixture.first.handleIntent(intent, i), i);
            fixture.second.handleIntent(intent, i);
            fixture.executor.complete(admit.attempt(), answer, i);
            OutcomeCopy copy = new OutcomeCopy(admit.attempt(), i, answer);
            fixture.first.record(copy, i);
            fixture.second.record(copy, i);
        }
        return fixture;
    }

    private static double per(long bytes) {
        return bytes / (double) REQUESTS;
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Member member(int number, int zone) {
        return new Member(
                new DaemonId("daemon-" + number),
                new IncarnationId(0x7123_4567_89ab_cd00L + number),
                0,
                MemberState.ALIVE,
                new ZoneId("zone-" + zone),
                new RegionId("region-0"),
                new MemberAddress("10.10.0." + number, 7_301),
                7_300,
                0);
    }

    /** One executor, and the witnesses in its own and in another zone. */
    private static final class Fixture {
        private final Member self = member(1, 0);
        private final MemberView view = new MemberView(List.of(self, member(2, 0), member(3, 1)));
        private final WitnessRecords first = new WitnessRecords(member(2, 0).incarnation(), LIMITS);
        private final WitnessRecords second = new WitnessRecords(member(3, 1).incarnation(), LIMITS);
        private final RecordedAnswer answer = new RecordedAnswer(200, "application/json", new byte[BODY_BYTES], true);
        private final KeyIssuer issuer;
        private final KeyExecutor executor;

        Fixture(long seed, boolean naive) {
            issuer = new KeyIssuer(self, LIMITS, new Random(seed));
            executor = naive ? new NaiveExecutionRecords() : new ExecutionRecords(self.incarnation(), LIMITS, 0);
        }
    }
}
